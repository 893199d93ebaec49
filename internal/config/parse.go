package config

import (
	"bytes"
	"encoding/json"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// MaxBytes bounds the size of the JSON encoding of a configuration in bytes. Parse does not check
// it. The control plane checks it before it parses a submitted configuration.
const MaxBytes = 4 << 20

// Parse decodes and validates a configuration. ok is false if b is not valid JSON. Otherwise
// violations lists all violations. The configuration may be used only if there are none.
// (DESIGN 5.2)
func Parse(b []byte) (configuration Configuration, violations []FieldViolation, ok bool) {
	if !json.Valid(b) {
		return configuration, nil, false
	}
	sc := newScanner(b)
	if first := bytes.TrimLeft(b, " \t\r\n")[0]; first != '{' {
		return configuration, []FieldViolation{{Path: "$", Message: "must be an object"}}, true
	}
	v := validator{violations: sc.duplicates}
	in := jlexer.Lexer{Data: b, UseMultipleErrors: true}
	configuration.UnmarshalEasyJSON(&in)
	for _, e := range in.GetNonFatalErrors() {
		v.add(sc.pathAt(e.Offset), e.Reason)
	}
	if err := in.Error(); err != nil {
		v.add("$", err.Error())
	}
	v.configuration(&configuration)
	return configuration, v.violations, true
}

// Bytes returns the JSON encoding of a configuration, which Parse accepts.
func (c Configuration) Bytes() []byte {
	out := jwriter.Writer{Flags: jwriter.NilSliceAsEmpty}
	c.MarshalEasyJSON(&out)
	b, _ := out.BuildBytes() // encoding to memory never fails
	return b
}
