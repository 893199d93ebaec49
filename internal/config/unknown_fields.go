package config

import (
	"slices"
	"strings"

	"github.com/mailru/easyjson/jlexer"
)

// UnknownFields collects the names of the fields of an object that its type does not have. It is
// embedded in each type of a configuration, so that unknown fields are violations.
type UnknownFields struct {
	names []string
}

// UnmarshalUnknown implements easyjson.UnknownsUnmarshaler.
func (u *UnknownFields) UnmarshalUnknown(in *jlexer.Lexer, key string) {
	u.names = append(u.names, strings.Clone(key)) // key shares the lexer's memory
	in.SkipRecursive()
}

func (u *UnknownFields) sortedNames() []string {
	slices.Sort(u.names)
	return u.names
}
