// Package trace holds the given tracing design: spans, their identifiers, the
// slot that follows a worker, and the queue that feeds the collectors.
package trace

import (
	"fmt"
	"math/rand/v2"
	"strconv"
)

// ID names a span; zero is none. (DESIGN 2.1)
type ID uint64

// NewID draws an id that is not zero.
func NewID() ID {
	for {
		if n := rand.Uint64(); n != 0 {
			return ID(n)
		}
	}
}

// String gives the 16 hex digits of B3.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// ParseID reads 16 hex digits; anything else is no id.
func ParseID(s string) (ID, bool) {
	if len(s) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 16, 64)
	return ID(n), err == nil && n != 0
}
