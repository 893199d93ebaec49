package dataplane

import (
	"fmt"
	"strings"
	"testing"
)

// Two services whose names come to one port are told so; neither is given the
// other's address.
func TestPortCollision(t *testing.T) {
	seen := map[uint16]string{}
	for i := 0; ; i++ {
		s := fmt.Sprintf("service-%d", i)
		other, ok := seen[portOf(s)]
		if !ok {
			seen[portOf(s)] = s
			continue
		}
		e := &egressListeners{services: func() []string { return []string{"orders", other, s} }}
		if addr, err := e.addr(s); err == nil || !strings.Contains(err.Error(), other) {
			t.Errorf("%s got %q, %v though %s has the same port", s, addr, err, other)
		}
		return
	}
}
