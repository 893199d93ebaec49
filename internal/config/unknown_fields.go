package config

import (
	"slices"
	"strings"

	"github.com/mailru/easyjson/jlexer"
)

// UnknownFields collects the fields of an object that nothing is known of.
type UnknownFields struct {
	names []string
}

// UnmarshalUnknown implements easyjson.UnknownsUnmarshaler.
func (u *UnknownFields) UnmarshalUnknown(in *jlexer.Lexer, key string) {
	u.names = append(u.names, strings.Clone(key))
	in.SkipRecursive()
}

func (u *UnknownFields) sortedNames() []string {
	slices.Sort(u.names)
	return u.names
}
