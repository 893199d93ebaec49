package causality

import (
	"cmp"
	"math"
	"slices"
	"time"

	"curlewwalk/internal/trace"
)

const (
	rounds    = 2    // of balancing shares (ours)
	mostOpen  = 256  // guesses kept for one kind of call (ours)
	leastSeen = 0.01 // a candidate's share below this is not told (ours)
)

// Book is the decision value: which requests are open, and which ways are
// known to make which calls. One thread owns it.
type Book struct {
	open    map[trace.ID]*Open
	habits  map[[2]string]*habit
	ended   map[string]float64     // requests ended, by way
	guesses map[[2]string][]*guess // by service and way of the call
	mingled map[[2]string]*mingled // by service and way
}

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{open: map[trace.ID]*Open{}, habits: map[[2]string]*habit{}, ended: map[string]float64{}, guesses: map[[2]string][]*guess{}, mingled: map[[2]string]*mingled{}}
}

// Enter opens a request.
func (b *Book) Enter(o Open) {
	o.calls = map[string]float64{}
	b.open[o.Span.ID] = &o
}

// Leave closes a request. Its end tells something of earlier guesses: calls
// that its way usually makes must be among them.
func (b *Book) Leave(id trace.ID) {
	o, ok := b.open[id]
	if !ok {
		return
	}
	delete(b.open, id)
	o.ended = true
	b.ended[o.Route]++
	for key, list := range b.guesses {
		if key[0] != o.Service {
			continue
		}
		b.balance(key, list)
		b.guesses[key] = slices.DeleteFunc(list, func(g *guess) bool {
			if !g.over() {
				return false
			}
			for i, c := range g.of {
				c.calls[key[1]] += g.share[i]
				b.habit(c.Route, key[1]).learn(g.at.Sub(c.Since), g.share[i])
			}
			return true
		})
	}
}

// Link ties an outgoing call of a service. told is the span that the call
// itself carried, if any.
func (b *Book) Link(service, route string, told trace.Span, now time.Time) Cause {
	if o, ok := b.open[told.ID]; ok && o.Service == service && o.Span.Trace == told.Trace {
		return b.sure(o, route, now)
	}
	var all []*Open
	for _, o := range b.open {
		if o.Service == service && now.Before(o.Deadline) {
			all = append(all, o)
		}
	}
	switch len(all) {
	case 0:
		return Cause{}
	case 1:
		return b.sure(all[0], route, now)
	}
	inOrder(all)
	return b.infer([2]string{service, route}, all, now)
}

// inOrder sorts candidates, so that a run can be repeated.
func inOrder(all []*Open) {
	slices.SortFunc(all, func(x, y *Open) int {
		return cmp.Or(x.Since.Compare(y.Since), cmp.Compare(x.Span.ID, y.Span.ID))
	})
}

// sure ties a call to the one request that can have caused it.
func (b *Book) sure(o *Open, route string, now time.Time) Cause {
	o.calls[route]++
	b.habit(o.Route, route).learn(now.Sub(o.Since), 1)
	return Cause{Parent: o.Span, Link: trace.LinkProven, Candidates: []trace.ID{o.Span.ID}, Deadline: o.Deadline, Rank: o.Rank}
}

// infer ties a call to the likeliest of several: by how often and when the way
// of each makes such a call, and by the calls that were likely its own already.
func (b *Book) infer(key [2]string, all []*Open, now time.Time) Cause {
	g := &guess{at: now, of: all, share: make([]float64, len(all))}
	list := b.guesses[key]
	earlier := made(list)
	for i, o := range all {
		left := max(0.02, 1-(o.calls[key[1]]+earlier[o])/b.usual(o.Route, key[1]))
		g.share[i] = left * b.rate(o.Route, key[1]) * b.habits[[2]string{o.Route, key[1]}].density(now.Sub(o.Since))
	}
	g.settle()
	if list = append(list, g); len(list) > mostOpen {
		list = slices.Delete(list, 0, 1)
	}
	b.guesses[key] = list
	b.balance(key, list)
	best := 0
	for i := range all {
		if g.share[i] > g.share[best] {
			best = i
		}
	}
	c := Cause{Parent: all[best].Span, Link: trace.LinkInferred, Candidates: []trace.ID{all[best].Span.ID}, Deadline: all[best].Deadline, Rank: all[best].Rank}
	for i, o := range all {
		if i != best && g.share[i] >= leastSeen {
			c.Candidates = append(c.Candidates, o.Span.ID)
			if o.Deadline.After(c.Deadline) {
				c.Deadline = o.Deadline
			}
			c.Rank = min(c.Rank, o.Rank)
		}
	}
	return c
}

// made sums, for each candidate, the shares that it has in guesses.
func made(list []*guess) map[*Open]float64 {
	made := map[*Open]float64{}
	for _, g := range list {
		for i, o := range g.of {
			made[o] += g.share[i]
		}
	}
	return made
}

// balance moves shares until each call has one cause and each request has no
// more calls than its way usually makes; one that ended has just as many.
func (b *Book) balance(key [2]string, list []*guess) {
	for range rounds {
		sums := made(list)
		for _, g := range list {
			for i, o := range g.of {
				room := max(0.02, b.usual(o.Route, key[1])-o.calls[key[1]])
				if m := sums[o]; m > room || o.ended && m > 0 {
					g.share[i] *= room / m
				}
			}
			g.settle()
		}
	}
}

// rate is how many calls of a way a request of another makes on average.
func (b *Book) rate(route, call string) float64 {
	calls := 0.0
	if h := b.habits[[2]string{route, call}]; h != nil {
		calls = h.calls
	}
	return (calls + 1) / (b.ended[route] + 1)
}

// usual is rate in whole calls.
func (b *Book) usual(route, call string) float64 {
	r := b.rate(route, call)
	if r < 0.5 {
		return max(r, 0.02)
	}
	return math.Round(r)
}

func (b *Book) habit(route, call string) *habit {
	key := [2]string{route, call}
	h := b.habits[key]
	if h == nil {
		h = new(habit)
		b.habits[key] = h
	}
	return h
}
