package watch

import (
	"cmp"
	"slices"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
)

const (
	// firstPatience is how long a follower waits for an answer at first. A core may hold a
	// Follow for holdFor, so what is left is for the way and the work. (ours)
	firstPatience = 900 * time.Millisecond
	// mostPatience bounds it: longer than this no answer may take, and a claim lapses
	// after 4 s without one. (ours)
	mostPatience = 3600 * time.Millisecond
	// firstPause is between a call that was not answered, or a look for a live core, and
	// the next; each further one is twice as long, up to mostPause: a hundred followers
	// that ask ten times a second keep a core that has just started from starting. (ours)
	firstPause = 100 * time.Millisecond
	mostPause  = 400 * time.Millisecond
	// avoidFor is how long a core that failed comes after the others; then it may be
	// followed again, as one of the follower's own zone must be. (ours)
	avoidFor = 10 * time.Second
	// unsure is how old a core's certainty may be before another is followed: one that
	// is cut off from the others answers as ever, but hears of no newer configuration.
	// (ours)
	unsure = time.Second
)

// choice decides which core a follower asks, and how long it waits for the answer. It is
// a decision value that one thread owns. (DESIGN 8.2)
type choice struct {
	own, zone string
	failed    map[string]time.Time // cores that failed lately
	core      membership.Seat      // asked last
	answered  bool                 // it answered, if only that it is not sure
	patience  time.Duration
	pause     time.Duration // grows while nothing is answered
}

func newChoice(own, zone string) *choice {
	return &choice{own: own, zone: zone, failed: map[string]time.Time{}, patience: firstPatience}
}

// next chooses among the live cores: those that failed lately come last, those of the own
// zone first, and of equals the one that ranks first by rendezvous hashing. False if
// there is none.
func (c *choice) next(live []membership.Seat, now time.Time) (membership.Seat, bool) {
	if len(live) == 0 {
		return membership.Seat{}, false
	}
	for addr, at := range c.failed {
		if now.Sub(at) >= avoidFor {
			delete(c.failed, addr)
		}
	}
	ranked := rendezvous.Rank(c.own, live, func(s membership.Seat) string { return s.Addr })
	slices.SortStableFunc(ranked, func(a, b membership.Seat) int {
		return cmp.Or(c.failed[a.Addr].Compare(c.failed[b.Addr]), cmp.Compare(c.crossing(a), c.crossing(b)))
	})
	first := ranked[0]
	lately := now.Sub(c.failed[first.Addr]) < unsure
	if c.answered && lately && slices.ContainsFunc(live, c.same) {
		first = c.core // the others are no better
	}
	c.core = first
	return first, true
}

// same tells whether a core is the one that was asked last, in the same life.
func (c *choice) same(s membership.Seat) bool { return s.Addr == c.core.Addr && s.Boot == c.core.Boot }

// crossing is 1 for a core of another zone.
func (c *choice) crossing(s membership.Seat) int {
	if s.Zone == c.zone {
		return 0
	}
	return 1
}

// took notes an answer, and how long ago its core was last sure of it.
func (c *choice) took(age time.Duration, now time.Time) {
	c.answered, c.patience, c.pause = true, firstPatience, 0
	if age > unsure {
		c.failed[c.core.Addr] = now
	}
}

// missed notes that no answer came. If it was waited for, the next is waited for twice as
// long: on a narrow link or a late processor the same answer would be asked for, and
// thrown away, again and again.
func (c *choice) missed(waited bool, now time.Time) {
	c.answered = false
	c.failed[c.core.Addr] = now
	c.none()
	if waited {
		c.patience = min(2*c.patience, mostPatience)
	}
}

// none notes that there was no answer or nobody to ask: the pause grows.
func (c *choice) none() { c.pause = max(firstPause, min(2*c.pause, mostPause)) }
