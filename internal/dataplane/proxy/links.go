package proxy

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/dataplane/endpoints"
)

// place is where a backend stands.
type place struct{ instance, address string }

// links keeps the connections to the own backends. It is a table that each attempt looks
// at for a moment; one sweeper closes what nobody wants any more. (DESIGN 10.6)
type links struct {
	life     context.Context
	launcher *actor.Launcher
	// stands tells whether a backend may still be sent something there.
	stands func(place) bool

	mu       sync.Mutex
	shelves  map[place]*shelf
	sweeping bool
	ended    bool

	opened, reused atomic.Int64
}

// shelf is what there is at one backend. The newest idle link stands last.
type shelf struct {
	idle []*link
	used int
}

func newLinks(life context.Context, l *actor.Launcher, stands func(place) bool) *links {
	return &links{life: life, launcher: l, stands: stands, shelves: map[place]*shelf{}}
}

// take gives a link to a backend, of which at most so many are open at a time: one
// that was idle for less than so long, or a fresh one.
func (ls *links) take(ctx context.Context, e endpoints.Endpoint, most int, idle time.Duration) (*link, error) {
	at := place{e.Instance, e.Address}
	old := ls.reserve(at, most, idle)
	if old != nil {
		ls.reused.Add(1)
		old.SetDeadline(deadline(ctx))
		return old, nil
	}
	l, err := ls.dial(ctx, at)
	if err != nil {
		ls.put(&link{at: at}, most)
		return nil, err
	}
	l.SetDeadline(deadline(ctx))
	return l, nil
}

// reserve takes a place at a backend, with an idle link if there is a good one.
func (ls *links) reserve(at place, most int, idle time.Duration) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	s := ls.shelves[at]
	if s == nil {
		s = &shelf{}
		ls.shelves[at] = s
	}
	s.used++
	for now := time.Now(); len(s.idle) > 0; {
		l := s.idle[len(s.idle)-1]
		age := now.Sub(l.since)
		if age >= idle {
			break // it may do for another attempt
		}
		s.idle = s.idle[:len(s.idle)-1]
		if age < l.keep && l.quiet() {
			return l
		}
		l.Close()
	}
	for len(s.idle) > 0 && s.used+len(s.idle) > most {
		s.idle[0].Close()
		s.idle = s.idle[1:]
	}
	return nil
}

// dial opens a connection for an attempt, within the attempt's time.
func (ls *links) dial(ctx context.Context, at place) (*link, error) {
	d := net.Dialer{Timeout: dialFor, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", at.address)
	if err != nil {
		return nil, err
	}
	ls.opened.Add(1)
	l, err := newLink(c.(*net.TCPConn), at)
	if err != nil {
		c.Close()
	}
	return l, err
}

// put takes a link back: to be kept, if it may be and nothing is to be read on it.
func (ls *links) put(l *link, most int) {
	keep := l.Conn != nil && l.keep > 0 && l.quiet()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	s := ls.shelves[l.at]
	s.used--
	if keep && !ls.ended && s.used+len(s.idle) < most {
		s.idle = append(s.idle, l)
		if !ls.sweeping {
			ls.sweeping = true
			ls.launcher.Go(ls.life, "links", ls.sweep)
		}
		return
	}
	if l.Conn != nil {
		l.Close()
	}
	ls.tidy(l.at)
}

// drop closes all idle links to a place.
func (ls *links) drop(at place) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.weed(at, func(*link) bool { return true })
}

// weed closes the idle links of a place that are bad.
func (ls *links) weed(at place, bad func(*link) bool) {
	if s := ls.shelves[at]; s != nil {
		s.idle = slices.DeleteFunc(s.idle, func(l *link) bool {
			if !bad(l) {
				return false
			}
			l.Close()
			return true
		})
		ls.tidy(at)
	}
}

func (ls *links) tidy(at place) {
	if s := ls.shelves[at]; s != nil && s.used == 0 && len(s.idle) == 0 {
		delete(ls.shelves, at)
	}
}

// sweep closes what is idle too long, what the backend has closed or written to, and
// what leads to a backend that takes nothing more, until life ends.
func (ls *links) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			ls.mu.Lock()
			defer ls.mu.Unlock()
			ls.ended = true
			for at := range ls.shelves {
				ls.weed(at, func(*link) bool { return true })
			}
			return
		case now := <-tick.C:
			ls.once(now)
		}
	}
}

// once looks at all idle links once.
func (ls *links) once(now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for at := range ls.shelves {
		gone := !ls.stands(at)
		ls.weed(at, func(l *link) bool { return gone || now.Sub(l.since) >= l.keep || !l.quiet() })
	}
}

// idle counts the links that nobody uses.
func (ls *links) idle() (n int) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, s := range ls.shelves {
		n += len(s.idle)
	}
	return n
}
