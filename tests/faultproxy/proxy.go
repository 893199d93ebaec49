package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// bufferSize is how much a proxy forwards at a time.
const bufferSize = 32 << 10

// Proxy forwards the connections to one address to another.
type Proxy struct {
	network  *Network
	listener net.Listener
	target   string
	host     string // the machine that the proxy stands for
	address  string
	// ctx ends when the present connections are dropped.
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

// Refuse makes the address refuse connections, as that of a dead process does. Open
// connections stay.
func (p *Proxy) Refuse() { p.listener.Close() }

// Accept ends Refuse.
func (p *Proxy) Accept() error {
	listener, err := Bind(p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.acceptLoop(listener)
	return nil
}

// Drop closes all connections, and loses what was in flight.
func (p *Proxy) Drop() {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.cancel()
	p.ctx, p.cancel = context.WithCancel(context.Background())
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.Drop()
	p.listener.Close()
}

// connectionContext is the context of connections that are opened now.
func (p *Proxy) connectionContext() context.Context {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.ctx
}

// acceptLoop forwards the connections of a listener until it is closed.
func (p *Proxy) acceptLoop(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// forward forwards one connection until either end closes it or it is dropped.
func (p *Proxy) forward(client net.Conn) {
	defer client.Close()
	ctx := p.connectionContext()
	clientHost, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	// Opening a connection needs both directions.
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
	var wg sync.WaitGroup
	wg.Go(func() { p.forwardOneWay(ctx, server, client, clientHost, p.host) })
	wg.Go(func() { p.forwardOneWay(ctx, client, server, p.host, clientHost) })
	wg.Wait()
}

// forwardOneWay forwards what one side sends. When that side closes its direction in order,
// the other one's is closed too; after an error both connections are closed.
func (p *Proxy) forwardOneWay(ctx context.Context, to, from net.Conn, sender, receiver string) {
	if err := p.copyWhilePassable(ctx, to, from, sender, receiver); err != nil {
		to.Close()
		from.Close()
		return
	}
	to.(*net.TCPConn).CloseWrite()
}

// copyWhilePassable copies until from is closed in order. What it has read waits until the
// network lets it pass.
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
