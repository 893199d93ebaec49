package dataplane

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// TestPortCollision checks that a service does not get the port of another service. Two
// service names can hash to the same port. Requests from one service would then be attributed
// to the other. The error must name the other service.
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
			t.Errorf("addr(%s) = %q, %v; want a port collision error that names %s", service, addr, err, other)
		}
		return
	}
}
