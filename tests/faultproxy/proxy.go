// Package faultproxy has relays that stand on advertised addresses while processes
// bind elsewhere, and cut, stall or refuse what passes. (DESIGN 14.4)
package faultproxy

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
)

// Network is the network between machines: all relays obey its cuts.
type Network struct {
	mu         sync.Mutex
	blocked    func(from, to string) bool           // whether nothing gets from one machine to another
	partitions map[*func(from, to string) bool]bool // cuts that overlap, until each is mended
	changed    chan struct{}                        // closed and renewed when the cuts change
}

// NewNetwork makes a whole network.
func NewNetwork() *Network {
	return &Network{blocked: func(string, string) bool { return false }, partitions: map[*func(from, to string) bool]bool{}, changed: make(chan struct{})}
}

// Partition puts the named machines on a side of their own. What passes between
// the sides piles up until the network is whole again: nothing is refused, the
// other side falls silent.
func (n *Network) Partition(machines ...string) {
	n.setPartition(func(a, b string) bool { return slices.Contains(machines, a) != slices.Contains(machines, b) })
}

// PartitionBetween cuts some machines off from some others, and from no more.
func (n *Network) PartitionBetween(some, others []string) {
	between := func(a, b string) bool { return slices.Contains(some, a) && slices.Contains(others, b) }
	n.setPartition(func(a, b string) bool { return between(a, b) || between(b, a) })
}

// BlockOneWay holds up what some machines send to some others; the other way it passes. No
// new connection between them comes about.
func (n *Network) BlockOneWay(from, to []string) {
	n.setPartition(func(a, b string) bool { return slices.Contains(from, a) && slices.Contains(to, b) })
}

// Heal mends the network: what piled up goes on its way.
func (n *Network) Heal() { n.Partition() }

// AddPartition adds a cut beside all others; mend ends it.
func (n *Network) AddPartition(blocks func(from, to string) bool) (mend func()) {
	n.update(func() { n.partitions[&blocks] = true })
	return func() { n.update(func() { delete(n.partitions, &blocks) }) }
}

// blocks reports whether any cut stands between two machines.
func (n *Network) blocks(from, to string) bool {
	if n.blocked(from, to) {
		return true
	}
	for partition := range n.partitions {
		if (*partition)(from, to) {
			return true
		}
	}
	return false
}

func (n *Network) setPartition(blocks func(from, to string) bool) {
	n.update(func() { n.blocked = blocks })
}

func (n *Network) update(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// waitPassable waits until something gets from one machine to another, or ctx ends.
func (n *Network) waitPassable(ctx context.Context, from, to string) bool {
	for {
		n.mu.Lock()
		ok, changed := !n.blocks(from, to), n.changed
		n.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Proxy carries connections to one address on to another.
type Proxy struct {
	network  *Network
	listener net.Listener
	target   string
	host     string
	address  string
	ctx      context.Context
	cancel   context.CancelFunc
}

// Listen starts a relay that stands on at and carries on to to.
func (n *Network) Listen(address, target string) (*Proxy, error) {
	ln, err := Bind(address)
	if err != nil {
		return nil, err
	}
	host, _, _ := net.SplitHostPort(address)
	p := &Proxy{network: n, listener: ln, target: target, host: host, address: address}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go p.acceptLoop(ln)
	return p, nil
}

// Refuse makes the address refuse connections, as one whose process is dead.
func (p *Proxy) Refuse() { p.listener.Close() }

// Drop ends all that the relay carries, and loses what was on its way.
func (p *Proxy) Drop() {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.cancel()
	p.ctx, p.cancel = context.WithCancel(context.Background())
}

// connectionContext is the context of what the relay carries now.
func (p *Proxy) connectionContext() context.Context {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.ctx
}

// Accept ends Refuse.
func (p *Proxy) Accept() error {
	ln, err := Bind(p.address)
	if err != nil {
		return err
	}
	p.listener = ln
	go p.acceptLoop(ln)
	return nil
}

// Close ends the relay and all it carries.
func (p *Proxy) Close() {
	p.Drop()
	p.listener.Close()
}

func (p *Proxy) acceptLoop(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *Proxy) forward(client net.Conn) {
	defer client.Close()
	ctx := p.connectionContext()
	clientHost, _, _ := net.SplitHostPort(client.RemoteAddr().String())
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
	pipe := func(dst, src net.Conn, sender, receiver string) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				if !p.network.waitPassable(ctx, sender, receiver) {
					break
				}
				if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF {
					break
				}
				if !p.network.waitPassable(ctx, sender, receiver) {
					break
				}
				dst.(*net.TCPConn).CloseWrite()
				return
			}
		}
		dst.Close()
		src.Close()
	}
	wg.Go(func() { pipe(server, client, clientHost, p.host) })
	wg.Go(func() { pipe(client, server, p.host, clientHost) })
	wg.Wait()
}
