package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// valuePosition is where in the bytes a value ends, and its path.
type valuePosition struct {
	end  int
	path string
}

// pathStep leads from a value to one within it: by name, or else by index.
type pathStep struct {
	name  []byte
	index int
}

// scanner walks the values of a configuration that is known to be JSON: it finds
// names that stand twice in one object, and, once told to note, where each
// value lies.
type scanner struct {
	data       []byte
	offset     int
	steps      []pathStep // to the value that is walked
	openNames  [][]byte   // that stand in the objects that are open
	indexing   bool
	positions  []valuePosition
	duplicates []FieldViolation
}

// linearSearchLimit is how many names are looked through one by one.
const linearSearchLimit = 16

func newScanner(b []byte) *scanner {
	sc := &scanner{data: b}
	sc.scanValue()
	return sc
}

// skipToToken skips to what is neither blank nor between values, and tells it.
func (sc *scanner) skipToToken() byte {
	for {
		switch c := sc.data[sc.offset]; c {
		case ' ', '\t', '\r', '\n', ',', ':':
			sc.offset++
		default:
			return c
		}
	}
}

func (sc *scanner) scanValue() {
	switch sc.skipToToken() {
	case '{':
		sc.offset++
		sc.recordPosition()
		sc.scanObject()
	case '[':
		sc.offset++
		sc.recordPosition()
		sc.steps = append(sc.steps, pathStep{})
		last := len(sc.steps) - 1
		for i := 0; sc.skipToToken() != ']'; i++ {
			sc.steps[last].index = i
			sc.scanValue()
		}
		sc.steps = sc.steps[:last]
		sc.offset++
	case '"':
		sc.skipString()
		sc.recordPosition()
	default:
		for sc.offset < len(sc.data) && !strings.ContainsRune(" \t\r\n,]}", rune(sc.data[sc.offset])) {
			sc.offset++
		}
		sc.recordPosition()
	}
}

func (sc *scanner) scanObject() {
	first, index := len(sc.openNames), map[string]bool(nil)
	sc.steps = append(sc.steps, pathStep{})
	last := len(sc.steps) - 1
	for sc.skipToToken() != '}' {
		name := sc.readString()
		sc.steps[last].name = name
		if sc.seenBefore(name, first, &index) && !sc.indexing {
			sc.duplicates = append(sc.duplicates, FieldViolation{Path: sc.currentPath(), Message: "stands twice"})
		}
		sc.scanValue()
	}
	sc.steps, sc.openNames = sc.steps[:last], sc.openNames[:first]
	sc.offset++
}

// seenBefore notes a name of the open object whose names begin at first, and tells
// whether it stood there before.
func (sc *scanner) seenBefore(name []byte, first int, many *map[string]bool) bool {
	if *many != nil {
		twice := (*many)[string(name)]
		(*many)[string(name)] = true
		return twice
	}
	for _, n := range sc.openNames[first:] {
		if bytes.Equal(n, name) {
			return true
		}
	}
	sc.openNames = append(sc.openNames, name)
	if len(sc.openNames)-first > linearSearchLimit {
		*many = map[string]bool{}
		for _, n := range sc.openNames[first:] {
			(*many)[string(n)] = true
		}
	}
	return false
}

// skipString passes a string that begins here; plain tells that nothing in it is
// escaped.
func (sc *scanner) skipString() (plain bool) {
	plain = true
	for sc.offset++; sc.data[sc.offset] != '"'; sc.offset++ {
		if sc.data[sc.offset] == '\\' {
			sc.offset++
			plain = false
		}
	}
	sc.offset++
	return plain
}

// readString reads a string that begins here.
func (sc *scanner) readString() []byte {
	begin := sc.offset
	if sc.skipString() {
		return sc.data[begin+1 : sc.offset-1]
	}
	var out string
	json.Unmarshal(sc.data[begin:sc.offset], &out)
	return []byte(out)
}

// currentPath is the path of the value that is walked.
func (sc *scanner) currentPath() string {
	out := []byte("$")
	for _, t := range sc.steps {
		if t.name != nil {
			out = append(append(out, '.'), t.name...)
		} else {
			out = append(strconv.AppendInt(append(out, '['), int64(t.index), 10), ']')
		}
	}
	return string(out)
}

func (sc *scanner) recordPosition() {
	if sc.indexing {
		sc.positions = append(sc.positions, valuePosition{end: sc.offset, path: sc.currentPath()})
	}
}

// pathAt finds the value that a lexer's offset points into.
func (sc *scanner) pathAt(offset int) string {
	if !sc.indexing {
		sc.offset, sc.indexing = 0, true
		sc.scanValue()
	}
	i, _ := slices.BinarySearchFunc(sc.positions, offset+1, func(p valuePosition, o int) int { return p.end - o })
	if i == len(sc.positions) {
		return "$"
	}
	return sc.positions[i].path
}
