package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// place is where in the bytes a value ends, and its path.
type place struct {
	end  int
	path string
}

// step leads from a value to one within it: by name, or else by index.
type step struct {
	name  []byte
	index int
}

// shape walks the values of a configuration that is known to be JSON: it finds
// names that stand twice in one object, and, once told to note, where each
// value lies.
type shape struct {
	b       []byte
	at      int
	trail   []step   // to the value that is walked
	names   [][]byte // that stand in the objects that are open
	noting  bool
	places  []place
	doubled []Fault
}

// few is how many names are looked through one by one.
const few = 16

func newShape(b []byte) *shape {
	s := &shape{b: b}
	s.value()
	return s
}

// next skips to what is neither blank nor between values, and tells it.
func (s *shape) next() byte {
	for {
		switch c := s.b[s.at]; c {
		case ' ', '\t', '\r', '\n', ',', ':':
			s.at++
		default:
			return c
		}
	}
}

func (s *shape) value() {
	switch s.next() {
	case '{':
		s.at++
		s.note()
		s.object()
	case '[':
		s.at++
		s.note()
		s.trail = append(s.trail, step{})
		last := len(s.trail) - 1
		for i := 0; s.next() != ']'; i++ {
			s.trail[last].index = i
			s.value()
		}
		s.trail = s.trail[:last]
		s.at++
	case '"':
		s.skip()
		s.note()
	default:
		for s.at < len(s.b) && !strings.ContainsRune(" \t\r\n,]}", rune(s.b[s.at])) {
			s.at++
		}
		s.note()
	}
}

func (s *shape) object() {
	first, many := len(s.names), map[string]bool(nil)
	s.trail = append(s.trail, step{})
	last := len(s.trail) - 1
	for s.next() != '}' {
		name := s.text()
		s.trail[last].name = name
		if s.seen(name, first, &many) && !s.noting {
			s.doubled = append(s.doubled, Fault{Path: s.where(), Message: "stands twice"})
		}
		s.value()
	}
	s.trail, s.names = s.trail[:last], s.names[:first]
	s.at++
}

// seen notes a name of the open object whose names begin at first, and tells
// whether it stood there before.
func (s *shape) seen(name []byte, first int, many *map[string]bool) bool {
	if *many != nil {
		twice := (*many)[string(name)]
		(*many)[string(name)] = true
		return twice
	}
	for _, n := range s.names[first:] {
		if bytes.Equal(n, name) {
			return true
		}
	}
	s.names = append(s.names, name)
	if len(s.names)-first > few {
		*many = map[string]bool{}
		for _, n := range s.names[first:] {
			(*many)[string(n)] = true
		}
	}
	return false
}

// skip passes a string that begins here; plain tells that nothing in it is
// escaped.
func (s *shape) skip() (plain bool) {
	plain = true
	for s.at++; s.b[s.at] != '"'; s.at++ {
		if s.b[s.at] == '\\' {
			s.at++
			plain = false
		}
	}
	s.at++
	return plain
}

// text reads a string that begins here.
func (s *shape) text() []byte {
	begin := s.at
	if s.skip() {
		return s.b[begin+1 : s.at-1]
	}
	var out string
	json.Unmarshal(s.b[begin:s.at], &out)
	return []byte(out)
}

// where is the path of the value that is walked.
func (s *shape) where() string {
	out := []byte("$")
	for _, t := range s.trail {
		if t.name != nil {
			out = append(append(out, '.'), t.name...)
		} else {
			out = append(strconv.AppendInt(append(out, '['), int64(t.index), 10), ']')
		}
	}
	return string(out)
}

func (s *shape) note() {
	if s.noting {
		s.places = append(s.places, place{end: s.at, path: s.where()})
	}
}

// path finds the value that a lexer's offset points into.
func (s *shape) path(offset int) string {
	if !s.noting {
		s.at, s.noting = 0, true
		s.value()
	}
	i, _ := slices.BinarySearchFunc(s.places, offset+1, func(p place, o int) int { return p.end - o })
	if i == len(s.places) {
		return "$"
	}
	return s.places[i].path
}
