package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// scanner walks the values of a configuration that is known to be valid JSON. The first pass finds
// names that occur twice in one object. A second pass runs only after an error of the decoder. It
// indexes the end of each value, so that the offset of an error can be converted to a path.
type scanner struct {
	data   []byte
	offset int
	// steps is the path from the root to the value at offset.
	steps []pathStep
	// openNames holds the names of all open objects, those of the outermost object first.
	openNames  [][]byte
	duplicates []FieldViolation

	// indexing is set during the second pass, which fills positions.
	indexing  bool
	positions []valuePosition
}

// pathStep is one step of a path: a name in an object or, if name is nil, an index in an array.
type pathStep struct {
	name  []byte
	index int
}

// valuePosition is the path of a value and the offset of its end. The end of an object or an array
// is taken to be the offset after its opening bracket.
type valuePosition struct {
	end  int
	path string
}

// linearSearchLimit is the number of names of an object up to which the names are searched
// linearly.
const linearSearchLimit = 16

// nameSet is the set of names of an open object. It consists of the elements of openNames from
// first on. For more than linearSearchLimit names, it consists of the keys of index instead.
type nameSet struct {
	first int
	index map[string]bool
}

// newScanner returns a scanner that has completed the first pass.
func newScanner(b []byte) *scanner {
	sc := &scanner{data: b}
	sc.scanValue()
	return sc
}

// skipToToken advances to the next byte that is neither white space nor a separator, and returns
// it.
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
		sc.scanArray()
	case '"':
		sc.skipString()
		sc.recordPosition()
	default:
		sc.skipLiteral()
		sc.recordPosition()
	}
}

// scanObject scans an object after its opening bracket.
func (sc *scanner) scanObject() {
	names := nameSet{first: len(sc.openNames)}
	sc.steps = append(sc.steps, pathStep{})
	last := len(sc.steps) - 1
	for sc.skipToToken() != '}' {
		name := sc.readString()
		sc.steps[last].name = name
		if sc.addName(&names, name) && !sc.indexing {
			sc.duplicates = append(sc.duplicates, FieldViolation{Path: sc.currentPath(), Message: "stands twice"})
		}
		sc.scanValue()
	}
	sc.steps, sc.openNames = sc.steps[:last], sc.openNames[:names.first]
	sc.offset++
}

// scanArray scans an array after its opening bracket.
func (sc *scanner) scanArray() {
	sc.steps = append(sc.steps, pathStep{})
	last := len(sc.steps) - 1
	for i := 0; sc.skipToToken() != ']'; i++ {
		sc.steps[last].index = i
		sc.scanValue()
	}
	sc.steps = sc.steps[:last]
	sc.offset++
}

// addName adds a name to the names of the innermost open object. It reports whether the object
// already had that name.
func (sc *scanner) addName(names *nameSet, name []byte) (duplicate bool) {
	if names.index != nil {
		duplicate = names.index[string(name)]
		names.index[string(name)] = true
		return duplicate
	}
	for _, other := range sc.openNames[names.first:] {
		if bytes.Equal(other, name) {
			return true
		}
	}
	sc.openNames = append(sc.openNames, name)
	if len(sc.openNames)-names.first > linearSearchLimit {
		names.index = map[string]bool{}
		for _, n := range sc.openNames[names.first:] {
			names.index[string(n)] = true
		}
	}
	return false
}

// skipString skips a string. unescaped reports whether the string has no escape sequences.
func (sc *scanner) skipString() (unescaped bool) {
	unescaped = true
	for sc.offset++; sc.data[sc.offset] != '"'; sc.offset++ {
		if sc.data[sc.offset] == '\\' {
			sc.offset++
			unescaped = false
		}
	}
	sc.offset++
	return unescaped
}

// skipLiteral skips a number, true, false or null.
func (sc *scanner) skipLiteral() {
	for sc.offset < len(sc.data) && !strings.ContainsRune(" \t\r\n,]}", rune(sc.data[sc.offset])) {
		sc.offset++
	}
}

// readString skips a string and returns its decoded text.
func (sc *scanner) readString() []byte {
	begin := sc.offset
	if sc.skipString() {
		return sc.data[begin+1 : sc.offset-1]
	}
	var text string
	json.Unmarshal(sc.data[begin:sc.offset], &text) // the whole document is known to be valid JSON
	return []byte(text)
}

// currentPath returns the path of the value at offset.
func (sc *scanner) currentPath() string {
	out := []byte("$")
	for _, step := range sc.steps {
		if step.name != nil {
			out = append(append(out, '.'), step.name...)
		} else {
			out = append(strconv.AppendInt(append(out, '['), int64(step.index), 10), ']')
		}
	}
	return string(out)
}

func (sc *scanner) recordPosition() {
	if sc.indexing {
		sc.positions = append(sc.positions, valuePosition{end: sc.offset, path: sc.currentPath()})
	}
}

// pathAt returns the path of the first value that ends after an offset that the decoder reported,
// or "$" if there is none.
func (sc *scanner) pathAt(offset int) string {
	if !sc.indexing {
		sc.offset, sc.indexing = 0, true
		sc.scanValue()
	}
	i, _ := slices.BinarySearchFunc(sc.positions, offset+1, func(p valuePosition, end int) int { return p.end - end })
	if i == len(sc.positions) {
		return "$"
	}
	return sc.positions[i].path
}

// DuplicateNames returns a violation for each name that occurs twice in one object of a document,
// which must be valid JSON. Two readers may take different values of such a name.
func DuplicateNames(document []byte) []FieldViolation { return newScanner(document).duplicates }
