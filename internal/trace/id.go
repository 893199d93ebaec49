package trace

import (
	"fmt"
	"math/rand/v2"
	"strconv"
)

// ID identifies a span. Zero identifies no span. (DESIGN 2.1)
type ID uint64

// NewID returns a random ID that is not zero.
func NewID() ID {
	for {
		if n := rand.Uint64(); n != 0 {
			return ID(n)
		}
	}
}

// String returns the B3 form of the ID: 16 hex digits.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// ParseID parses an ID of 16 hex digits. ok is false if s has any other form or is zero.
func ParseID(s string) (id ID, ok bool) {
	if len(s) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 16, 64)
	return ID(n), err == nil && n != 0
}
