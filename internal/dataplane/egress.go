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

// The range of the ports that are given to services: below the one that Linux takes for the
// local ends of connections.
const (
	firstPort = 20000 // (ours)
	portCount = 12000 // (ours)
)

// egressConfig is what the settings say about outgoing addresses.
type egressConfig struct {
	// Host is the IP address of those that are not fixed.
	Host netip.Addr
	// Fixed are addresses (IP:port) by service.
	Fixed map[string]string
}

// egressDeps are the parts that the listeners use.
type egressDeps struct {
	// Services lists the services that this node knows of.
	Services func() []string
	// Serve serves a listener until its server is closed.
	Serve func(listener net.Listener, handler http.Handler) *process.HTTPServer
	// Handler serves the requests of a service's backends.
	Handler func(service string) http.Handler
}

// egressListeners are the addresses that own backends send their outgoing calls to: one for
// each service, so that the address identifies the caller. The port follows from the
// service's name alone, so that no other service ever gets it, whatever was restarted in
// between. (DESIGN 9.3)
type egressListeners struct {
	egressConfig
	egressDeps

	mu      sync.Mutex
	servers map[string]*process.HTTPServer // by service
}

func newEgressListeners(cfg egressConfig, deps egressDeps) *egressListeners {
	return &egressListeners{egressConfig: cfg, egressDeps: deps, servers: map[string]*process.HTTPServer{}}
}

// portOf is the port of a service.
func portOf(service string) uint16 {
	return uint16(firstPort + rendezvous.Score("outgoing", service)%portCount)
}

// portCollisionError says that two services have one port, so that neither gets it.
type portCollisionError struct {
	port  uint16
	other string
}

// Error implements error.
func (e *portCollisionError) Error() string {
	return fmt.Sprintf("port %d is that of %s too: settings must give one of them an address (outgoing)", e.port, e.other)
}

// addr returns the address of a service, which it opens if need be.
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

// choose is the address that a service is to have.
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

// closeIdle closes idle connections, each after the response given.
func (e *egressListeners) closeIdle(ctx context.Context, response []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, server := range e.servers {
		server.CloseIdle(ctx, response)
	}
}

// shutdown closes the addresses; open requests may finish until ctx ends.
func (e *egressListeners) shutdown(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, server := range e.servers {
		server.Shutdown(ctx)
	}
}
