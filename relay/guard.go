package relay

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

var errShut = eris.New("the gate was shut before the write")

// guard is asked immediately before the first byte goes to a backend, and
// knows afterwards whether any did.
type guard struct {
	open  func() bool
	wrote atomic.Bool
	shut  atomic.Bool
}

type guardKey struct{}

// guarded is a backend's connection with its guard. (DESIGN 9.2)
type guarded struct {
	net.Conn
	g *guard
}

// Write implements net.Conn.
func (c guarded) Write(b []byte) (int, error) {
	if !c.g.wrote.Load() {
		if !c.g.open() {
			c.g.shut.Store(true)
			return 0, errShut
		}
		c.g.wrote.Store(true)
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
