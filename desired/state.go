// Package desired holds the operator's desired state and its checks.
// (DESIGN 5)
package desired

// State is one whole configuration.
//
//easyjson:json
type State struct {
	Stray
	Ways      []Way      `json:"ways"`
	Contracts []Contract `json:"contracts"`
}
