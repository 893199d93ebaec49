package config

import (
	"time"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Duration is a time.Duration whose JSON form is a string in the syntax of time.ParseDuration, such
// as "250ms".
type Duration struct {
	time.Duration
	// Invalid is the decoded text if it is not a valid duration. Validation reports it.
	Invalid string
}

// UnmarshalEasyJSON implements easyjson.Unmarshaler.
func (d *Duration) UnmarshalEasyJSON(in *jlexer.Lexer) {
	text := in.String()
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Invalid = text
		return
	}
	d.Duration = v
}

// MarshalEasyJSON implements easyjson.Marshaler.
func (d Duration) MarshalEasyJSON(out *jwriter.Writer) { out.String(d.String()) }

// IsDefined implements easyjson.Optional. A zero duration is omitted from fields with omitempty.
func (d Duration) IsDefined() bool { return d.Duration != 0 || d.Invalid != "" }
