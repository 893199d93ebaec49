package config

import (
	"slices"
	"strings"

	"github.com/mailru/easyjson/jlexer"
)

// Stray collects the fields of an object that nothing is known of.
type Stray struct {
	names []string
}

// UnmarshalUnknown implements easyjson.UnknownsUnmarshaler.
func (s *Stray) UnmarshalUnknown(in *jlexer.Lexer, key string) {
	s.names = append(s.names, strings.Clone(key))
	in.SkipRecursive()
}

func (s *Stray) sorted() []string {
	slices.Sort(s.names)
	return s.names
}
