package config

// Configuration is what the operator submits. Routes may lead to any service unless Services lists
// some; then they may lead to these only.
//
//easyjson:json
type Configuration struct {
	UnknownFields
	Routes    []Route    `json:"ways"`
	Contracts []Contract `json:"contracts"`
	Services  []Service  `json:"services,omitempty"`
	Limits    Limits     `json:"limits,omitempty"`
}
