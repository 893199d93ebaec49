// Package config holds the operator's desired state and its checks.
// (DESIGN 5)
package config

import "github.com/mailru/easyjson/jwriter"

// State is one whole configuration.
//
//easyjson:json
type State struct {
	Stray
	Routes    []Route    `json:"ways"`
	Contracts []Contract `json:"contracts"`
	Services  []Service  `json:"services,omitempty"`
	Limits    Limits     `json:"limits,omitempty"`
}

// Bytes writes a configuration as Parse reads it.
func (st State) Bytes() []byte {
	out := jwriter.Writer{Flags: jwriter.NilSliceAsEmpty}
	st.MarshalEasyJSON(&out)
	b, _ := out.BuildBytes() // our writers never fail
	return b
}
