package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// bufferSize is the maximum number of bytes that a proxy forwards in one write.
const bufferSize = 32 << 10

// Proxy forwards TCP connections from the address on which it listens to a target address.
type Proxy struct {
	network  *Network
	listener net.Listener
	target   string
	host     string // machine of the process behind the proxy
	address  string
	// ctx is canceled, and replaced, when the current connections are dropped.
	ctx    context.Context
	cancel context.CancelFunc
}

// Listen starts a proxy that listens on address and forwards to target.
func (n *Network) Listen(address, target string) (*Proxy, error) {
	listener, err := Bind(address)
	if err != nil {
		return nil, err
	}
	host, _, _ := net.SplitHostPort(address)
	p := &Proxy{network: n, listener: listener, target: target, host: host, address: address}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go p.acceptLoop(listener)
	return p, nil
}

// Refuse makes the address refuse new connections, like that of a dead process. Open connections
// are not closed.
func (p *Proxy) Refuse() { p.listener.Close() }

// Accept listens again after Refuse.
func (p *Proxy) Accept() error {
	listener, err := Bind(p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.acceptLoop(listener)
	return nil
}

// Drop closes all connections and discards the data in flight.
func (p *Proxy) Drop() {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.cancel()
	p.ctx, p.cancel = context.WithCancel(context.Background())
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	p.Drop()
	p.listener.Close()
}

// connectionContext returns the context for new connections. Drop cancels it.
func (p *Proxy) connectionContext() context.Context {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.ctx
}

// acceptLoop accepts and forwards connections until the listener is closed.
func (p *Proxy) acceptLoop(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// forward forwards one connection until both directions are closed, one of them fails, or the
// connection is dropped.
func (p *Proxy) forward(client net.Conn) {
	defer client.Close()
	ctx := p.connectionContext()
	clientHost, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	// A TCP handshake needs both directions.
	if !p.network.waitPassable(ctx, clientHost, p.host) || !p.network.waitPassable(ctx, p.host, clientHost) {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	stop := context.AfterFunc(ctx, func() { client.Close(); server.Close() })
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { p.forwardOneWay(ctx, server, client, clientHost, p.host) })
	directions.Go(func() { p.forwardOneWay(ctx, client, server, p.host, clientHost) })
	directions.Wait()
}

// forwardOneWay forwards the data that one side sends. When that side closes its direction in order,
// forwardOneWay closes the same direction on the other connection. After an error it closes both
// connections.
func (p *Proxy) forwardOneWay(ctx context.Context, to, from net.Conn, sender, receiver string) {
	if err := p.copyWhilePassable(ctx, to, from, sender, receiver); err != nil {
		to.Close()
		from.Close()
		return
	}
	to.(*net.TCPConn).CloseWrite()
}

// copyWhilePassable copies data until the end of file on from. Before each write, and before the
// end of file takes effect, it waits until the network does not block the traffic.
func (p *Proxy) copyWhilePassable(ctx context.Context, to, from net.Conn, sender, receiver string) error {
	buffer := make([]byte, bufferSize)
	for {
		n, readErr := from.Read(buffer)
		if n > 0 || errors.Is(readErr, io.EOF) {
			if !p.network.waitPassable(ctx, sender, receiver) {
				return ctx.Err()
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return nil
		case readErr != nil:
			return readErr
		}
	}
}
