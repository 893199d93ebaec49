package dataplane

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// Of two services whose names come to one port neither is given the other's address; the
// error names the other.
func TestPortCollision(t *testing.T) {
	byPort := map[uint16]string{}
	for i := 0; ; i++ {
		service := fmt.Sprintf("service-%d", i)
		other, ok := byPort[portOf(service)]
		if !ok {
			byPort[portOf(service)] = service
			continue
		}
		e := newEgressListeners(egressConfig{}, egressDeps{Services: func() []string { return []string{"orders", other, service} }})
		addr, err := e.addr(service)
		var collision *portCollisionError
		if !errors.As(err, &collision) || !strings.Contains(err.Error(), other) {
			t.Errorf("%s got %q, %v though %s has the same port", service, addr, err, other)
		}
		return
	}
}
