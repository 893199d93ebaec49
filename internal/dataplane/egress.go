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
	portCount = 12000 // (ours)
)

// egressListeners keeps the addresses for backends' outgoing calls: one for each
// service, so that the address tells who calls. Its port follows from the
// service's name alone, so that no other service is ever told it, whatever was
// restarted in between. (DESIGN 9.3)
type egressListeners struct {
	process  *process.Process
	outbound *proxy.Outbound
	host     netip.Addr
	fixed    map[string]string
	// services lists the services that this node knows of.
	services func() []string

	mu      sync.Mutex
	servers map[string]*process.HTTPServer
}

// portOf is the port of a service.
func portOf(service string) uint16 {
	return uint16(firstPort + rendezvous.Score("outgoing", service)%portCount)
}

// addr gives the address of a service, opening it if need be.
func (e *egressListeners) addr(service string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if server, ok := e.servers[service]; ok {
		return server.Listener.Addr().String(), nil
	}
	address, ok := e.fixed[service]
	if !ok {
		port := portOf(service)
		for _, other := range e.services() {
			if other != service && portOf(other) == port {
				return "", fmt.Errorf("port %d is that of %s too: settings must give one of them an address (outgoing)", port, other)
			}
		}
		address = netip.AddrPortFrom(e.host, port).String()
	}
	listener, err := listenTCP(address)
	if err != nil {
		return "", err
	}
	e.servers[service] = e.process.Serve(listener, e.outbound.Handler(service))
	return listener.Addr().String(), nil
}

// sayFarewell says farewell to the backends.
func (e *egressListeners) sayFarewell(ctx context.Context, farewell []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, server := range e.servers {
		server.CloseIdle(ctx, farewell)
	}
}

// stop lets what is open finish until ctx ends.
func (e *egressListeners) stop(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, server := range e.servers {
		server.Shutdown(ctx)
	}
}
