package membership

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/transport"
)

const (
	// inWant is how old news from the cores must be before others are asked.
	inWant = time.Second // (ours)
	// Fanout is how many others are asked at a beat, however many there are.
	Fanout = 3 // (ours)
	// mostWanted is of how many nodes the soft state is asked for in one call.
	mostWanted = 64 // (ours)
	// mostNewcomers is how many nodes that asked, and are not known, are kept.
	mostNewcomers = 16 // (ours)
)

// Rollcall asks a few of the other sidecars at each beat while no core tells news: for
// the newest word, for who they are, and for what they heard all others say of whether
// a majority of cores lives. (DESIGN 7.4)
type Rollcall struct {
	Own      string
	Net      *transport.Net
	Launcher *actor.Launcher
	// Node is this node's soft state, its stamp included; View all it knows.
	Node func() Node
	View func() *View
	// Seats are the cores that it knows of.
	Seats func() Seats
	// Word is its word, if there is one.
	Word func() *config.Word
	// Seeds are asked while no other node is known.
	Seeds func() []string
	// News is how old the news from the cores is.
	News func(now time.Time) time.Duration
	// Take is handed what a round brought, all at once; Sure as of when a majority
	// agreed, after each round in which one does.
	Take func(ctx context.Context, f Found)
	Sure func(asOf time.Time)

	statements atomic.Pointer[Statements]
	newcomers  chan string
	// What follows belongs to Run. Tests have clocks and limits of their own.
	turn   int
	now    func() time.Time
	within time.Duration
}

// Found is what a round brought.
type Found struct {
	// Word is the newest that was told, if any was newer than the own one.
	Word *config.Word
	// Nodes are soft states that differ from the own view, Dead the boots of nodes
	// whose processes are gone.
	Nodes []Node
	Dead  map[string]uint64
	Know  []Seat
}

// NewRollcall makes a roll call; the exported fields are set by the caller.
func NewRollcall() *Rollcall {
	c := &Rollcall{newcomers: make(chan string, mostNewcomers), now: time.Now, within: Beat * 4 / 5}
	c.statements.Store(&Statements{})
	return c
}

// Run asks in rhythm until ctx ends.
func (c *Rollcall) Run(ctx context.Context) {
	tick := time.NewTicker(Beat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if c.News(c.now()) > inWant {
				c.round(ctx)
			}
		}
	}
}

// peer is what this node tells of itself.
func (c *Rollcall) peer(now time.Time) Peer {
	n := c.Node()
	return Peer{Addr: n.Addr, Boot: n.Boot, Rev: n.Rev, Said: &Statement{Stamp: n.Stamp, Alone: c.Seats().NoMajority(now)}}
}

// Answer handles a Gossip call.
func (c *Rollcall) Answer(_ context.Context, in transport.Request) (any, string) {
	var q Gossip
	if !in.Into(&q) {
		return nil, "not a gossip"
	}
	v := c.View()
	if f := q.Fetch; f != nil {
		return Gossiped{Nodes: v.some(f.Nodes), Word: c.word(*f)}, ""
	}
	if have, ok := v.nodes[q.Own.Addr]; !ok || have.Boot != q.Own.Boot {
		select {
		case c.newcomers <- q.Own.Addr:
		default: // it will ask again
		}
	}
	now := c.now()
	out := Gossiped{Peers: c.statements.Load().Tell(c.peer(now), v, now)}
	if seats := c.Seats(); seats.Digest(nil) != q.Digest {
		out.Know = seats.All()
	}
	return out, ""
}

// word is what a fetch is answered.
func (c *Rollcall) word(f Fetch) *config.Word {
	w := c.Word()
	if w == nil || !f.Word || w.Stamp <= f.Stamp {
		return nil
	}
	out := *w
	if f.DesiredStamp != 0 && f.DesiredStamp == w.DesiredStamp {
		out.Desired = nil
	}
	return &out
}

// gossiped is how a call went; answer is nil if there is none.
type gossiped struct {
	addr    string
	asked   time.Time
	answer  *Gossiped
	refused bool
}

// round asks a few others; it ends in less than a beat.
func (c *Rollcall) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.within)
	defer cancel()
	view, own := c.View(), c.peer(c.now())
	stamp := own.Said.Stamp
	others := view.Addrs()
	if len(others) == 0 || len(others) == 1 && others[0] == c.Own {
		others = union(c.Seeds(), nil)
	}
	others = slices.DeleteFunc(others, func(a string) bool { return a == c.Own })
	q := Gossip{Own: Peer{Addr: own.Addr, Boot: own.Boot, Rev: own.Rev}, Digest: c.Seats().Digest(nil)}
	heard := *c.statements.Load()
	var found Found
	var answered []gossiped
	for _, g := range c.ask(ctx, c.targets(others, heard, stamp), q) {
		now := c.now()
		switch {
		case g.answer != nil:
			heard = heard.Hear(c.Own, g.answer.Peers, g.asked, now)
			found.Know = append(found.Know, g.answer.Know...)
			answered = append(answered, g)
		case g.refused:
			heard = heard.Refused(g.addr, view.nodes[g.addr].Boot, g.asked, now)
		}
	}
	c.statements.Store(&heard)
	c.fetch(ctx, &found, q, answered, func(told []Peer) []string { return heard.Lacking(view, told) })
	if found.Dead = heard.deadIn(view); found.any() {
		c.Take(ctx, found)
	}
	if asOf, ok := heard.Sure(c.Own, stamp, others, c.now()); ok {
		c.Sure(asOf)
	}
}

// ask calls some others at the same time.
func (c *Rollcall) ask(ctx context.Context, addrs []string, q Gossip) (out []gossiped) {
	back := make(chan gossiped, len(addrs))
	for _, addr := range addrs {
		c.Launcher.Go(ctx, "gossip", func(ctx context.Context) {
			g := gossiped{addr: addr, asked: c.now()}
			var a Gossiped
			r := c.Net.Call(ctx, addr, transport.Control, KindGossip, q)
			if g.refused = r.Refused; r.Into(&a) {
				g.answer = &a
			}
			back <- g
		})
	}
	for range addrs {
		out = append(out, <-back)
	}
	return out
}

// targets are whom to ask at this beat: those that asked and are not known, the one that
// has the newest word, and others in turn, in an order that differs from node to node.
func (c *Rollcall) targets(others []string, heard Statements, stamp uint64) (out []string) {
	add := func(addr string) {
		if len(out) < Fanout && addr != c.Own && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	for range min(len(c.newcomers), Fanout-1) {
		add(<-c.newcomers)
	}
	if addr, ok := heard.Highest(stamp); ok {
		add(addr)
	}
	ranked := rendezvous.Rank(c.Own, others, func(a string) string { return a })
	for range ranked {
		if len(out) == Fanout {
			break
		}
		c.turn++
		add(ranked[c.turn%len(ranked)])
	}
	return out
}

// fetch asks one of those that answered for what is lacking: the one with the newest
// word, if that is newer than the own one, or else the one that has most of it.
func (c *Rollcall) fetch(ctx context.Context, found *Found, q Gossip, answered []gossiped, lacking func([]Peer) []string) {
	have, f, from := c.Word(), Fetch{}, ""
	if have != nil {
		f.Stamp, f.DesiredStamp = have.Stamp, have.DesiredStamp
	}
	newest := f.Stamp
	for _, g := range answered {
		nodes, stamp := lacking(g.answer.Peers), g.answer.own(g.addr).Stamp
		if stamp > newest || !f.Word && len(nodes) > len(f.Nodes) {
			f.Word, f.Nodes, from = stamp > newest, nodes, g.addr
			newest = max(newest, stamp)
		}
	}
	if from == "" {
		return
	}
	f.Nodes = f.Nodes[:min(mostWanted, len(f.Nodes))]
	q.Fetch = &f
	for _, g := range c.ask(ctx, []string{from}, q) {
		if g.answer != nil {
			found.Nodes, found.Word = g.answer.Nodes, g.answer.Word
		}
	}
	if w := found.Word; w != nil && w.Desired == nil && have != nil && w.DesiredStamp == have.DesiredStamp {
		w.Desired = have.Desired
	}
}

func (f *Found) any() bool {
	return f.Word != nil || len(f.Nodes) > 0 || len(f.Dead) > 0 || len(f.Know) > 0
}
