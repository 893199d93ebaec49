package transport

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"curlewwalk/internal/actor"
)

// Net keeps one connection for each lane to each address and opens them on
// demand. The table of connections is an immutable snapshot. (DESIGN 3.4)
type Net struct {
	own  Greeting
	from net.IP
	l    *actor.Launcher
	open atomic.Pointer[map[line]*Connection]
	want chan want
	made chan dialled
	gone chan *Connection
	// Counts are the calls sent and the responses that came, by kind.
	Counts Counts
}

// Lane keeps control traffic and requests out of each other's way.
type Lane int

// The lanes.
const (
	Control Lane = iota
	Feed
	Traffic
)

type line struct {
	addr string
	lane Lane
}

type want struct {
	line  line
	reply chan dialled
}

type dialled struct {
	line line
	c    *Connection
	// refused is set when nobody listens there.
	refused bool
}

// NewNet makes a Net; from is the local address that dials come from.
func NewNet(l *actor.Launcher, own Greeting, from net.IP) *Net {
	n := &Net{own: own, from: from, l: l, want: make(chan want), made: make(chan dialled), gone: make(chan *Connection)}
	n.open.Store(&map[line]*Connection{})
	return n
}

// handFor is how long a request waits to be begun with on the way to another node, for a
// connection to be opened or to come free: past it, it is surely unsent, and its caller can
// turn elsewhere. A connection that is being opened may still serve the next.
const handFor = 300 * time.Millisecond // (ours)

// Call sends one call to addr, opening a connection if there is none.
func (n *Net) Call(ctx context.Context, addr string, lane Lane, kind string, body any) Response {
	begin := ctx
	if lane == Traffic {
		var cancel context.CancelFunc
		begin, cancel = context.WithTimeout(ctx, handFor)
		defer cancel()
	}
	ln := line{addr: addr, lane: lane}
	c, ok := (*n.open.Load())[ln]
	if !ok {
		w := want{line: ln, reply: make(chan dialled, 1)}
		select {
		case n.want <- w:
		case <-begin.Done():
			return Response{Fate: Unsent}
		}
		var d dialled
		select {
		case d = <-w.reply:
		case <-begin.Done():
		}
		if c = d.c; c == nil {
			return Response{Fate: Unsent, Fault: "no circuit", Refused: d.refused}
		}
	}
	return c.call(ctx, begin, kind, body, lane == Traffic)
}

// Run owns the table.
func (n *Net) Run(ctx context.Context) {
	waiting := map[line][]chan dialled{}
	for {
		select {
		case <-ctx.Done():
			n.closeAll()
			return
		case w := <-n.want:
			n.wanted(ctx, waiting, w)
		case d := <-n.made:
			for _, reply := range waiting[d.line] {
				reply <- d
			}
			delete(waiting, d.line)
			if d.c != nil {
				n.keep(ctx, d)
			}
		case c := <-n.gone:
			n.swap(func(m map[line]*Connection) {
				maps.DeleteFunc(m, func(_ line, have *Connection) bool { return have == c })
			})
		}
	}
}

func (n *Net) closeAll() {
	for _, c := range *n.open.Load() {
		c.Close()
	}
}

// swap puts a changed copy of the table in its place.
func (n *Net) swap(change func(map[line]*Connection)) {
	next := maps.Clone(*n.open.Load())
	change(next)
	n.open.Store(&next)
}

// wanted answers who wants a connection that is open, and has others wait for the one that
// is being opened.
func (n *Net) wanted(ctx context.Context, waiting map[line][]chan dialled, w want) {
	if c, ok := (*n.open.Load())[w.line]; ok {
		w.reply <- dialled{line: w.line, c: c}
		return
	}
	waiting[w.line] = append(waiting[w.line], w.reply)
	if len(waiting[w.line]) == 1 {
		n.l.Go(ctx, "dial", func(ctx context.Context) { n.dial(ctx, w.line) })
	}
}

// dial opens a connection and hands it to Run.
func (n *Net) dial(ctx context.Context, to line) {
	c, err := dial(ctx, n.l, n.from, to.addr, n.own, &n.Counts)
	if err != nil {
		c = nil
	}
	select {
	case n.made <- dialled{line: to, c: c, refused: errors.Is(err, syscall.ECONNREFUSED)}:
	case <-ctx.Done():
		if c != nil {
			c.Close()
		}
	}
}

// keep puts a connection into the table until it has ended.
func (n *Net) keep(ctx context.Context, d dialled) {
	n.swap(func(m map[line]*Connection) { m[d.line] = d.c })
	n.l.Go(ctx, "circuit-watch", func(ctx context.Context) {
		<-d.c.Broken()
		select {
		case n.gone <- d.c:
		case <-ctx.Done():
		}
	})
}
