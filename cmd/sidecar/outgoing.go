package main

import (
	"context"
	"net/netip"
	"sync"

	"curlewwalk/process"
	"curlewwalk/relay"
)

// outgoing keeps the addresses for backends' outgoing calls: one for each
// service, so that the address tells who calls. (DESIGN 9.3)
type outgoing struct {
	p     *process.Process
	near  *relay.Near
	host  netip.Addr
	fixed map[string]string

	mu   sync.Mutex
	webs map[string]*process.Web
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
		at = netip.AddrPortFrom(o.host, 0).String()
	}
	ln, err := listen(at)
	if err != nil {
		return "", err
	}
	o.webs[service] = o.p.Serve(ln, o.near.Handler(service))
	return ln.Addr().String(), nil
}

// stop lets what is open finish until ctx ends.
func (o *outgoing) stop(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.webs {
		w.Stop(ctx)
	}
}
