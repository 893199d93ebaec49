package watch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/transport"
)

// Directory runs a Feed on a core's control thread and lets followers wait
// for news. (DESIGN 8.1)
type Directory struct {
	box   *actor.Mailbox
	feed  *Feed
	start time.Time
	held  []follower
	force []force
	// sure is as of when no newer word had been acknowledged; zero if never.
	sure time.Time
	// budgets are the sums over all nodes, for whoever heartbeats.
	budgets atomic.Pointer[map[string]retrybudget.Tally]
	accused atomic.Pointer[map[string]uint64]
}

// never is the age of what a core was never sure of.
const never = time.Hour

type follower struct {
	q     Follow
	until time.Duration
	reply chan<- *News
}

// force waits for a stamp to be in force on all nodes.
type force struct {
	stamp uint64
	until time.Duration
	reply chan<- []string
}

const (
	// forceFor is how long an operator's write waits to be in force on all nodes.
	forceFor = time.Second // (ours)
	// mostFor is how much longer it waits to be in force on most.
	mostFor = 2 * time.Second // (ours)
)

type (
	msgForce struct {
		stamp uint64
		reply chan<- []string
	}
	msgNode struct {
		n     membership.Node
		reply chan<- []string
	}
	msgPulse struct {
		p     membership.Pulse
		reply chan<- bool
	}
	msgSettled struct{ w config.Word }
	msgSure    struct{ at time.Time }
	msgTick    struct{}
	msgFollow  struct {
		q     Follow
		reply chan<- *News
	}
	msgState struct{ reply chan<- State }
	msgDrain struct {
		zone  string
		reply chan<- Drain
	}
)

// State is what the directory shows.
type State struct {
	Stamp uint64            `json:"stamp"`
	Feed  uint64            `json:"feed"`
	Place uint64            `json:"place"`
	Open  bool              `json:"open"`
	Nodes []membership.Node `json:"nodes"`
	Word  config.Word       `json:"-"`
}

// NewDirectory starts the directory's actor.
func NewDirectory(l *actor.Launcher, boot uint64) *Directory {
	d := &Directory{feed: New(boot, 0), start: time.Now()}
	d.budgets.Store(&map[string]retrybudget.Tally{})
	d.accused.Store(&map[string]uint64{})
	d.box = l.Spawn("directory", d.on)
	return d
}

// Run keeps time until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.box.Send(ctx, msgTick{})
		}
	}
}

// Told takes a node's own word, and returns the departures that earlier processes at its
// address told of and that it doesn't.
func (d *Directory) Told(ctx context.Context, n membership.Node) (departed []string) {
	departed, _ = actor.Ask(ctx, d.box, func(r chan<- []string) any { return msgNode{n, r} })
	return departed
}

// Felt takes a node's pulse; false if the node has to be told whole.
func (d *Directory) Felt(ctx context.Context, p membership.Pulse) bool {
	known, ok := actor.Ask(ctx, d.box, func(r chan<- bool) any { return msgPulse{p, r} })
	return known || !ok
}

// Settled takes a majority-held word.
func (d *Directory) Settled(ctx context.Context, w config.Word) { d.box.Send(ctx, msgSettled{w}) }

// Sure takes that no newer word had been acknowledged as of a moment.
func (d *Directory) Sure(ctx context.Context, at time.Time) { d.box.Send(ctx, msgSure{at}) }

// Budgets are the sums over all nodes.
func (d *Directory) Budgets() map[string]retrybudget.Tally { return *d.budgets.Load() }

// Accused is the incarnation in which others accuse a node, if they do.
func (d *Directory) Accused(addr string) (uint64, bool) {
	inc, ok := (*d.accused.Load())[addr]
	return inc, ok
}

// State shows the directory.
func (d *Directory) State(ctx context.Context) (State, bool) {
	return actor.Ask(ctx, d.box, func(r chan<- State) any { return msgState{r} })
}

// Drain reports on a zone.
func (d *Directory) Drain(ctx context.Context, zone string) (Drain, bool) {
	return actor.Ask(ctx, d.box, func(r chan<- Drain) any { return msgDrain{zone, r} })
}

// InForce waits until all nodes have a stamp in force, for a second at most, or
// at least most of them, for three, and lists those that do not; ok is false if
// that is not known. (DESIGN 6.6)
func (d *Directory) InForce(ctx context.Context, stamp uint64) (behind []string, ok bool) {
	behind, ok = actor.Ask(ctx, d.box, func(r chan<- []string) any { return msgForce{stamp, r} })
	return behind, ok && behind != nil
}

// Answer handles a Follow call.
func (d *Directory) Answer(ctx context.Context, in transport.Request) (any, string) {
	var q Follow
	if !in.Into(&q) {
		return nil, "not a follow"
	}
	n, ok := actor.Ask(ctx, d.box, func(r chan<- *News) any { return msgFollow{q, r} })
	if !ok || n == nil {
		return nil, "not settled in"
	}
	return n, ""
}

func (d *Directory) on(_ context.Context, msg any) {
	now := time.Since(d.start)
	d.feed.Wake(now)
	switch m := msg.(type) {
	case msgNode:
		m.reply <- d.feed.Departed(m.n, now)
		if !d.feed.Told(m.n, now) {
			d.forced(now)
			return
		}
	case msgPulse:
		m.reply <- d.feed.Felt(m.p, now)
		d.forced(now)
		return // no news for followers
	case msgSettled:
		d.feed.Settled(m.w)
	case msgSure:
		d.sure = m.at
	case msgTick:
		d.feed.Tick(now)
		sums := retrybudget.Merge(d.feed.Budgets())
		d.budgets.Store(&sums)
		accused := d.feed.Accused()
		d.accused.Store(&accused)
	case msgFollow:
		if !d.feed.Open(now) {
			m.reply <- nil
			return
		}
		d.held = append(d.held, follower{q: m.q, until: now + m.q.Wait, reply: m.reply})
	case msgForce:
		d.force = append(d.force, force{stamp: m.stamp, until: now + forceFor, reply: m.reply})
	case msgDrain:
		m.reply <- d.feed.Drain(m.zone, now)
	case msgState:
		st := State{Feed: d.feed.ID, Place: d.feed.place, Open: d.feed.Open(now), Nodes: d.feed.Nodes()}
		if w := d.feed.Word(); w != nil {
			st.Stamp, st.Word = w.Stamp, *w
		}
		m.reply <- st
	}
	d.serve(now)
}

// serve answers the followers that there is news for or that waited enough.
func (d *Directory) serve(now time.Duration) {
	kept := d.held[:0]
	for _, f := range d.held {
		n, fresh := d.feed.Since(f.q)
		if !fresh && now < f.until {
			kept = append(kept, f)
			continue
		}
		n.Age = never
		if !d.sure.IsZero() {
			n.Age = time.Since(d.sure)
		}
		f.reply <- &n
	}
	clear(d.held[len(kept):])
	d.held = kept
	d.forced(now)
}

// forced answers those who wait for a stamp to be in force.
func (d *Directory) forced(now time.Duration) {
	d.force = slices.DeleteFunc(d.force, func(w force) bool {
		var behind []string // not known while the nodes are still being heard
		if d.feed.Open(now) {
			behind = d.feed.Behind(w.stamp)
		}
		late, most := now >= w.until, behind != nil && 2*len(behind) < len(d.feed.nodes)
		over := late && (most || now >= w.until+mostFor) || behind != nil && len(behind) == 0
		if over {
			w.reply <- behind
		}
		return over
	})
}
