package config

import (
	"slices"
	"strings"

	"github.com/mailru/easyjson/jlexer"
)

// UnknownFields collects the names of JSON fields that the type of an object does not define. Each
// type of a configuration embeds it, so that validation reports unknown fields as violations.
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
