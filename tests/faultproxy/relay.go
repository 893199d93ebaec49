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

// Net is the network between machines: all relays obey its cuts.
type Net struct {
	mu   sync.Mutex
	cut  func(from, to string) bool           // whether nothing gets from one machine to another
	more map[*func(from, to string) bool]bool // cuts that overlap, until each is mended
	turn chan struct{}                        // closed and renewed when the cuts change
}

// NewNet makes a whole network.
func NewNet() *Net {
	return &Net{cut: func(string, string) bool { return false }, more: map[*func(from, to string) bool]bool{}, turn: make(chan struct{})}
}

// Split puts the named machines on a side of their own. What passes between
// the sides piles up until the network is whole again: nothing is refused, the
// other side falls silent.
func (n *Net) Split(machines ...string) {
	n.set(func(a, b string) bool { return slices.Contains(machines, a) != slices.Contains(machines, b) })
}

// Cut cuts some machines off from some others, and from no more.
func (n *Net) Cut(some, others []string) {
	between := func(a, b string) bool { return slices.Contains(some, a) && slices.Contains(others, b) }
	n.set(func(a, b string) bool { return between(a, b) || between(b, a) })
}

// OneWay holds up what some machines send to some others; the other way it passes. No
// new connection between them comes about.
func (n *Net) OneWay(from, to []string) {
	n.set(func(a, b string) bool { return slices.Contains(from, a) && slices.Contains(to, b) })
}

// Whole mends the network: what piled up goes on its way.
func (n *Net) Whole() { n.Split() }

// Add adds a cut beside all others; mend ends it.
func (n *Net) Add(cut func(from, to string) bool) (mend func()) {
	n.change(func() { n.more[&cut] = true })
	return func() { n.change(func() { delete(n.more, &cut) }) }
}

// cuts tells whether any cut stands between two machines.
func (n *Net) cuts(from, to string) bool {
	if n.cut(from, to) {
		return true
	}
	for cut := range n.more {
		if (*cut)(from, to) {
			return true
		}
	}
	return false
}

func (n *Net) set(cut func(from, to string) bool) { n.change(func() { n.cut = cut }) }

func (n *Net) change(cuts func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cuts()
	close(n.turn)
	n.turn = make(chan struct{})
}

// passable waits until something gets from one machine to another, or ctx ends.
func (n *Net) passable(ctx context.Context, from, to string) bool {
	for {
		n.mu.Lock()
		ok, turn := !n.cuts(from, to), n.turn
		n.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-turn:
		case <-ctx.Done():
			return false
		}
	}
}

// Relay carries connections to one address on to another.
type Relay struct {
	net  *Net
	ln   net.Listener
	to   string
	host string
	at   string
	ctx  context.Context
	end  context.CancelFunc
}

// Listen starts a relay that stands on at and carries on to to.
func (n *Net) Listen(at, to string) (*Relay, error) {
	ln, err := Bind(at)
	if err != nil {
		return nil, err
	}
	host, _, _ := net.SplitHostPort(at)
	r := &Relay{net: n, ln: ln, to: to, host: host, at: at}
	r.ctx, r.end = context.WithCancel(context.Background())
	go r.accept(ln)
	return r, nil
}

// Refuse makes the address refuse connections, as one whose process is dead.
func (r *Relay) Refuse() { r.ln.Close() }

// Drop ends all that the relay carries, and loses what was on its way.
func (r *Relay) Drop() {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	r.end()
	r.ctx, r.end = context.WithCancel(context.Background())
}

// life is the context of what the relay carries now.
func (r *Relay) life() context.Context {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	return r.ctx
}

// Accept ends Refuse.
func (r *Relay) Accept() error {
	ln, err := Bind(r.at)
	if err != nil {
		return err
	}
	r.ln = ln
	go r.accept(ln)
	return nil
}

// Close ends the relay and all it carries.
func (r *Relay) Close() {
	r.Drop()
	r.ln.Close()
}

func (r *Relay) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go r.carry(c)
	}
}

func (r *Relay) carry(c net.Conn) {
	defer c.Close()
	ctx := r.life()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if !r.net.passable(ctx, from, r.host) || !r.net.passable(ctx, r.host, from) {
		return
	}
	far, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer far.Close()
	stop := context.AfterFunc(ctx, func() { c.Close(); far.Close() })
	defer stop()
	var wg sync.WaitGroup
	pipe := func(dst, src net.Conn, sender, receiver string) {
		buf := make([]byte, 32<<10)
		for {
			k, err := src.Read(buf)
			if k > 0 {
				if !r.net.passable(ctx, sender, receiver) {
					break
				}
				if _, werr := dst.Write(buf[:k]); werr != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF {
					break
				}
				if !r.net.passable(ctx, sender, receiver) {
					break
				}
				dst.(*net.TCPConn).CloseWrite()
				return
			}
		}
		dst.Close()
		src.Close()
	}
	wg.Go(func() { pipe(far, c, from, r.host) })
	wg.Go(func() { pipe(c, far, r.host, from) })
	wg.Wait()
}
