package causality

import (
	"time"

	"curlewwalk/internal/trace"
)

const (
	// slack is by how much a call may outlive its cause as told: both are told in whole
	// milliseconds and at different moments. (ours)
	slack = 50 * time.Millisecond
	// strange is the part of a way's requests that can't be a backend's calls from
	// which on the way counts as one of clients. (ours)
	strange = 0.01
	// settled is how many requests of a way are looked at before any is tied. (ours)
	settled = 4
)

// mingled is what was seen of a way's requests where callers can't be told apart.
type mingled struct{ seen, strange float64 }

// Mingled ties a request that may be a client's as well as a call of the machine's own
// backend: both arrive at one address. A call ends with its cause, so one that has more
// time left than all that its service has open, or comes while nothing is, is a client's;
// a way of which some are so is one of clients. What is left is inferred, never proven:
// it decides no more than where the request hangs in its tree. (DESIGN 2.5)
func (b *Book) Mingled(service, route string, told trace.Span, left time.Duration, now time.Time) Cause {
	if o, ok := b.open[told.ID]; ok && o.Service == service && o.Span.Trace == told.Trace {
		return b.sure(o, route, now)
	}
	key := [2]string{service, route}
	m := b.mingled[key]
	if m == nil {
		m = &mingled{}
		b.mingled[key] = m
	}
	m.seen++
	var all []*Open
	for _, o := range b.open {
		if o.Service == service && o.Route != route && !o.Deadline.Add(slack).Before(now.Add(left)) {
			all = append(all, o)
		}
	}
	if len(all) == 0 {
		m.strange++
	}
	if len(all) == 0 || m.seen < settled || m.strange > strange*m.seen {
		return Cause{}
	}
	inOrder(all)
	return b.infer(key, all, now)
}
