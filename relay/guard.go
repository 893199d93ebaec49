package relay

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"curlewwalk/roster"
)

var errShut = eris.New("the gate was shut before the write")

// The states of a guard: it goes once from idle to one of the others.
const (
	guardIdle int32 = iota
	guardWrote
	guardShut
)

// guard is asked immediately before the first byte goes to a backend.
type guard struct {
	check func() roster.Refusal
	state atomic.Int32
	why   atomic.Pointer[roster.Refusal]
}

// pass lets the first write through, unless the gate or the leg is shut.
func (g *guard) pass() bool {
	if g.state.Load() == guardWrote {
		return true
	}
	if why := g.check(); why != roster.Open {
		g.why.Store(&why)
		return false
	}
	return g.state.CompareAndSwap(guardIdle, guardWrote)
}

// shut ends the leg. True if nothing was written: then nothing ever will be.
func (g *guard) shut() bool { return g.state.CompareAndSwap(guardIdle, guardShut) }

type guardKey struct{}

// guarded is a backend's connection with its guard. (DESIGN 9.2)
type guarded struct {
	net.Conn
	g *guard
}

// Write implements net.Conn.
func (c guarded) Write(b []byte) (int, error) {
	if !c.g.pass() {
		return 0, errShut
	}
	return c.Conn.Write(b)
}

// dialGuarded dials a backend for one leg.
func dialGuarded(ctx context.Context, network, addr string) (net.Conn, error) {
	g, ok := ctx.Value(guardKey{}).(*guard)
	if !ok {
		panic("a backend was dialled without a guard")
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return guarded{Conn: conn, g: g}, nil
}
