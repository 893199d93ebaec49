package dataplane

import (
	"context"
	"fmt"
	"net/netip"
	"sync"

	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/process"
	"curlewwalk/internal/rendezvous"
)

const (
	// firstPort and ports are the range that services' addresses come from: below
	// the one that Linux takes for connections on their way out.
	firstPort = 20000 // (ours)
	ports     = 12000 // (ours)
)

// outgoing keeps the addresses for backends' outgoing calls: one for each
// service, so that the address tells who calls. Its port follows from the
// service's name alone, so that no other service is ever told it, whatever was
// restarted in between. (DESIGN 9.3)
type outgoing struct {
	p     *process.Process
	near  *proxy.Outbound
	host  netip.Addr
	fixed map[string]string
	// known lists the services that this node knows of.
	known func() []string

	mu   sync.Mutex
	webs map[string]*process.HTTPServer
}

// portOf is the port of a service.
func portOf(service string) uint16 {
	return uint16(firstPort + rendezvous.Score("outgoing", service)%ports)
}

// addr gives the address of a service, opening it if need be.
func (o *outgoing) addr(service string) (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w, ok := o.webs[service]; ok {
		return w.Listener.Addr().String(), nil
	}
	at, ok := o.fixed[service]
	if !ok {
		port := portOf(service)
		for _, other := range o.known() {
			if other != service && portOf(other) == port {
				return "", fmt.Errorf("port %d is that of %s too: settings must give one of them an address (outgoing)", port, other)
			}
		}
		at = netip.AddrPortFrom(o.host, port).String()
	}
	ln, err := listen(at)
	if err != nil {
		return "", err
	}
	o.webs[service] = o.p.Serve(ln, o.near.Handler(service))
	return ln.Addr().String(), nil
}

// part says farewell to the backends.
func (o *outgoing) part(ctx context.Context, farewell []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.webs {
		w.CloseIdle(ctx, farewell)
	}
}

// stop lets what is open finish until ctx ends.
func (o *outgoing) stop(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.webs {
		w.Shutdown(ctx)
	}
}
