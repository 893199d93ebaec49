package trace

import (
	"fmt"
	"math/rand/v2"
	"strconv"
)

// ID identifies a span; zero is none. (DESIGN 2.1)
type ID uint64

// NewID returns a random ID that is not zero.
func NewID() ID {
	for {
		if n := rand.Uint64(); n != 0 {
			return ID(n)
		}
	}
}

// String returns the 16 hex digits of B3.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// ParseID parses 16 hex digits; anything else, and zero, is no ID.
func ParseID(s string) (id ID, ok bool) {
	if len(s) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 16, 64)
	return ID(n), err == nil && n != 0
}
