package dataplane

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"curlewwalk/internal/process"
	"curlewwalk/internal/rendezvous"
)

// Ports are assigned to services from a range below the ephemeral ports, which Linux assigns
// to the local ends of connections.
const (
	firstPort = 20000
	portCount = 12000
)

// egressConfig holds the settings of the egress listeners.
type egressConfig struct {
	// Host is the IP address of the listeners that are not in Fixed.
	Host netip.Addr
	// Fixed maps services to fixed addresses (IP:port).
	Fixed map[string]string
}

// egressDeps holds the dependencies of the egress listeners.
type egressDeps struct {
	// Services returns the services that are known to this node.
	Services func() []string
	// Serve serves HTTP on a listener until the returned server is closed.
	Serve func(listener net.Listener, handler http.Handler) *process.HTTPServer
	// Handler returns the handler of the requests that a service's backends send.
	Handler func(service string) http.Handler
}

// egressListeners manages the addresses to which own backends send their outgoing calls. Each
// service has its own address, so the address identifies the calling service. The port is
// derived from the service's name alone. Restarts therefore never give a service's port to
// another service. (DESIGN 9.3)
type egressListeners struct {
	egressConfig
	egressDeps

	mu      sync.Mutex
	servers map[string]*process.HTTPServer // by service
}

func newEgressListeners(cfg egressConfig, deps egressDeps) *egressListeners {
	return &egressListeners{egressConfig: cfg, egressDeps: deps, servers: map[string]*process.HTTPServer{}}
}

// portOf returns the port of a service.
func portOf(service string) uint16 {
	return uint16(firstPort + rendezvous.Score("outgoing", service)%portCount)
}

// portCollisionError reports that two services map to the same port. Neither service gets the
// port.
type portCollisionError struct {
	port  uint16
	other string
}

// Error implements error.
func (e *portCollisionError) Error() string {
	return fmt.Sprintf("port %d is that of %s too: settings must give one of them an address (outgoing)", e.port, e.other)
}

// addr returns the address of a service's listener. It opens the listener on the first call.
func (e *egressListeners) addr(service string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if server, ok := e.servers[service]; ok {
		return server.Listener.Addr().String(), nil
	}
	address, err := e.choose(service)
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	e.servers[service] = e.Serve(listener, e.Handler(service))
	return listener.Addr().String(), nil
}

// choose returns the address on which a service's listener is to be opened.
func (e *egressListeners) choose(service string) (string, error) {
	if address, ok := e.Fixed[service]; ok {
		return address, nil
	}
	port := portOf(service)
	for _, other := range e.Services() {
		if other != service && portOf(other) == port {
			return "", &portCollisionError{port: port, other: other}
		}
	}
	return netip.AddrPortFrom(e.Host, port).String(), nil
}

// closeIdle writes the response to each idle connection and then closes the connection.
func (e *egressListeners) closeIdle(ctx context.Context, response []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, server := range e.servers {
		server.CloseIdle(ctx, response)
	}
}

// shutdown closes all listeners. Open requests may finish until ctx ends.
func (e *egressListeners) shutdown(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, server := range e.servers {
		server.Shutdown(ctx)
	}
}
