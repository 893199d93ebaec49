package desired

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// place is where in the bytes a value ends, and its path.
type place struct {
	end  int
	path string
}

// shape walks the tokens of a configuration: it finds names that stand twice
// in one object, and where each value lies.
type shape struct {
	dec     *json.Decoder
	places  []place
	doubled []Fault
}

func newShape(b []byte) *shape {
	s := &shape{dec: json.NewDecoder(bytes.NewReader(b))}
	s.value("$")
	return s
}

func (s *shape) value(path string) {
	tok, err := s.dec.Token()
	if err != nil {
		return
	}
	s.places = append(s.places, place{end: int(s.dec.InputOffset()), path: path})
	switch tok {
	case json.Delim('{'):
		seen := map[string]bool{}
		for s.dec.More() {
			name, _ := s.dec.Token()
			key := path + "." + fmt.Sprint(name)
			if seen[key] {
				s.doubled = append(s.doubled, Fault{Path: key, Message: "stands twice"})
			}
			seen[key] = true
			s.value(key)
		}
		s.dec.Token()
	case json.Delim('['):
		for i := 0; s.dec.More(); i++ {
			s.value(fmt.Sprintf("%s[%d]", path, i))
		}
		s.dec.Token()
	}
}

// path finds the value that a lexer's offset points into.
func (s *shape) path(offset int) string {
	i, _ := slices.BinarySearchFunc(s.places, offset+1, func(p place, o int) int { return p.end - o })
	if i == len(s.places) {
		return "$"
	}
	return s.places[i].path
}
