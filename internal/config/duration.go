package config

import (
	"time"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Duration is a time.Duration that is written in JSON as time.ParseDuration reads it, as in
// "250ms".
type Duration struct {
	time.Duration
	// Invalid is the text that was read if it is no duration; validation reports it.
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

// IsDefined implements easyjson.Optional: a zero duration is left out where that is allowed.
func (d Duration) IsDefined() bool { return d.Duration != 0 || d.Invalid != "" }
