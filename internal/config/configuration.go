// Package config holds the operator's desired state and its checks.
// (DESIGN 5)
package config

import "github.com/mailru/easyjson/jwriter"

// Configuration is one whole configuration.
//
//easyjson:json
type Configuration struct {
	UnknownFields
	Routes    []Route    `json:"ways"`
	Contracts []Contract `json:"contracts"`
	Services  []Service  `json:"services,omitempty"`
	Limits    Limits     `json:"limits,omitempty"`
}

// Bytes writes a configuration as Parse reads it.
func (configuration Configuration) Bytes() []byte {
	out := jwriter.Writer{Flags: jwriter.NilSliceAsEmpty}
	configuration.MarshalEasyJSON(&out)
	b, _ := out.BuildBytes() // our writers never fail
	return b
}
