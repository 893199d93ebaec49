package config

import (
	"time"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Duration is a time.Duration written as in "250ms".
type Duration struct {
	time.Duration
	Invalid string // what was written, when it is no duration
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

// IsDefined implements easyjson.Optional: where a duration may be left out, none
// is written as none.
func (d Duration) IsDefined() bool { return d.Duration != 0 || d.Invalid != "" }
