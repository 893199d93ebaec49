package lineage

import (
	"cmp"
	"slices"
	"time"

	"curlewwalk/trace"
)

// Book is the decision value: which inquiries are open, and which ways are
// known to make which calls. One thread owns it.
type Book struct {
	open  map[trace.ID]*Open
	known map[[2]string]*habit
	ended map[string]int // inquiries ended, by way
}

// habit is what was learned of one way making calls of another.
type habit struct {
	calls int
	after time.Duration // running mean from receipt of the inquiry to the call
}

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{open: map[trace.ID]*Open{}, known: map[[2]string]*habit{}, ended: map[string]int{}}
}

// Enter opens an inquiry.
func (b *Book) Enter(o Open) {
	o.calls = map[string]int{}
	b.open[o.Span.ID] = &o
}

// Leave closes an inquiry.
func (b *Book) Leave(id trace.ID) {
	if o, ok := b.open[id]; ok {
		b.ended[o.Way]++
		delete(b.open, id)
	}
}

// Link ties an outgoing call of a service. told is the span that the call
// itself carried, if any.
func (b *Book) Link(service, way string, told trace.Span, now time.Time) Cause {
	if o, ok := b.open[told.ID]; ok && o.Service == service && o.Span.Trace == told.Trace {
		b.learn(o, way, now)
		return one(o, trace.LinkProven)
	}
	var all []*Open
	for _, o := range b.open {
		if o.Service == service && now.Before(o.Expiry) {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(x, y *Open) int {
		return cmp.Or(x.Since.Compare(y.Since), cmp.Compare(x.Span.ID, y.Span.ID))
	})
	switch len(all) {
	case 0:
		return Cause{}
	case 1:
		b.learn(all[0], way, now)
		return one(all[0], trace.LinkProven)
	}
	return b.infer(all, way, now)
}

func (b *Book) learn(o *Open, way string, now time.Time) {
	o.calls[way]++
	key := [2]string{o.Way, way}
	h := b.known[key]
	if h == nil {
		h = new(habit)
		b.known[key] = h
	}
	h.calls++
	took := now.Sub(o.Since)
	h.after += (took - h.after) / time.Duration(min(h.calls, 64))
}

// infer narrows several open inquiries to those whose way makes this call and
// that have not made it yet, and takes the one whose turn it most likely is.
func (b *Book) infer(all []*Open, way string, now time.Time) Cause {
	makes := slices.DeleteFunc(slices.Clone(all), func(o *Open) bool { return b.known[[2]string{o.Way, way}] == nil })
	if len(makes) == 0 {
		makes = all
	}
	due := slices.DeleteFunc(slices.Clone(makes), func(o *Open) bool { return o.calls[way] >= b.usual(o.Way, way) })
	if len(due) == 0 {
		due = makes
	}
	best := slices.MinFunc(due, func(x, y *Open) int { return cmp.Compare(b.off(x, way, now), b.off(y, way, now)) })
	best.calls[way]++
	c := one(best, trace.LinkInferred)
	for _, o := range due {
		if o != best {
			c.Candidates = append(c.Candidates, o.Span.ID)
		}
		if o.Expiry.Before(c.Expiry) {
			c.Expiry = o.Expiry
		}
	}
	return c
}

// usual is how often an inquiry of one way makes a call of another.
func (b *Book) usual(way, call string) int {
	h := b.known[[2]string{way, call}]
	if h == nil || b.ended[way] == 0 {
		return 1
	}
	return max(1, (h.calls+b.ended[way]/2)/b.ended[way])
}

// off is how far the moment is from when the way usually makes the call.
func (b *Book) off(o *Open, way string, now time.Time) time.Duration {
	h := b.known[[2]string{o.Way, way}]
	if h == nil {
		return now.Sub(o.Since)
	}
	return (now.Sub(o.Since) - h.after).Abs()
}

func one(o *Open, l trace.Link) Cause {
	return Cause{Parent: o.Span, Link: l, Candidates: []trace.ID{o.Span.ID}, Expiry: o.Expiry}
}
