package endpoints

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// deepest is how many may wait for each place at a backend.
const deepest = 4 // (ours)

// Bid is what an attempt asks of a line.
type Bid struct {
	Rank  int
	Route string
	// Left is the time left in which the answer is in time.
	Left time.Duration
	// Last is the time left in which a late answer is still worth something; zero:
	// it is worth nothing.
	Last time.Duration
}

// Verdict is what a line decides on a bid.
type Verdict int

// The attempt runs now, waits for its turn, or is refused.
const (
	Run Verdict = iota
	Wait
	Refuse
)

// Line is who runs at a backend and who waits: a decision value. Higher ranks
// go before lower ones, and within a rank short runs, then who has to begin first; nobody waits who could
// no longer be served in time. Those that can only be late, if that is worth something
// to them, stand aside and get what the others leave. (DESIGN 15.2)
type Line struct {
	open    int64
	waiting []place
	aside   []place
	next    uint64
	mean    time.Duration // of a run
	costs   map[string]cost
}

// cost is what runs of a way take: on average, and by how much they stray from it.
type cost struct{ mean, stray time.Duration }

// strays is how many strays beyond the average a run is given room for. Under overload
// all wait until they just can, so this decides how many then end in time.
const strays = 1.5 // (ours)

// grain is the shortest run that is told from shorter ones. (ours)
const grain = 4 * time.Millisecond

// need is the time that all but few of the runs take.
func (c cost) need() time.Duration { return c.mean + time.Duration(strays*float64(c.stray)) }

// learn takes a run.
func (c cost) learn(took time.Duration) cost {
	if c.mean == 0 {
		return cost{mean: took}
	}
	return cost{mean: blend(c.mean, took), stray: c.stray + ((took-c.mean).Abs()-c.stray)/8}
}

type place struct {
	id     uint64
	rank   int
	size   int           // of its run, each twice the one before
	giveUp time.Duration // when it can't be served in time any more
	// last is when it is not worth serving any more. Nobody stands aside for more than
	// half of the time left: it had better be told, and come again.
	last time.Duration
}

// Shift is what a change of the line means for those who waited: some run now,
// some are refused.
type Shift struct {
	Run, Refused []uint64
}

// Ask takes a bid under the limit of this moment. id names the place of one who
// waits; back is when a refused one should come again.
func (l *Line) Ask(b Bid, limit int64, now time.Duration) (v Verdict, id uint64, back time.Duration, s Shift) {
	if l.open < limit && len(l.waiting) == 0 {
		l.open++
		return Run, 0, 0, s
	}
	cost := l.costs[b.Route].need()
	p := place{id: l.next + 1, rank: b.Rank, size: bits.Len64(uint64(cost / grain)), giveUp: now + b.Left - cost, last: now + min(b.Last-cost, b.Last/2)}
	at, _ := slices.BinarySearchFunc(l.waiting, p, place.before)
	switch {
	case b.Left >= l.until(at, limit)+cost && at < deepest*int(limit):
		l.waiting = slices.Insert(l.waiting, at, p)
	case b.Last <= 0 || !l.stand(p, limit, now):
		return Refuse, 0, l.until(len(l.waiting), limit), s
	}
	l.next++
	s = l.shift(limit, now)
	return Wait, l.next, 0, s
}

// before orders places: by rank, then shorter runs first, since of them more are in time
// and their callers often hold a place elsewhere meanwhile; then by who has to begin
// first, then by arrival.
func (p place) before(q place) int {
	if c := cmp.Or(cmp.Compare(p.rank, q.rank), cmp.Compare(p.size, q.size), cmp.Compare(p.giveUp, q.giveUp)); c != 0 {
		return c
	}
	return -1
}

// stand has a place stand aside, if it is worth it and there is room.
func (l *Line) stand(p place, limit int64, now time.Duration) bool {
	at, _ := slices.BinarySearchFunc(l.aside, p, place.before)
	if now+l.until(len(l.waiting)+at, limit) > p.last || len(l.aside) >= deepest*int(limit) {
		return false
	}
	l.aside = slices.Insert(l.aside, at, p)
	return true
}

// until is how long the place at an index waits, as far as is known.
func (l *Line) until(at int, limit int64) time.Duration {
	return time.Duration(int64(l.mean) * int64(at+1) / limit)
}

// Done takes that a run has ended, and how long it took.
func (l *Line) Done(route string, took time.Duration, limit int64, now time.Duration) Shift {
	l.open--
	if l.costs == nil {
		l.costs = map[string]cost{}
	}
	l.mean = blend(l.mean, took)
	l.costs[route] = l.costs[route].learn(took)
	return l.shift(limit, now)
}

// Abandon takes that a run was stopped, of which nothing is learned.
func (l *Line) Abandon(limit int64, now time.Duration) Shift {
	l.open--
	return l.shift(limit, now)
}

func blend(old, took time.Duration) time.Duration {
	if old == 0 {
		return took
	}
	return old + (took-old)/8
}

// Quit takes one who no longer waits; false if it does not wait any more.
func (l *Line) Quit(id uint64) bool {
	n := len(l.waiting) + len(l.aside)
	own := func(p place) bool { return p.id == id }
	l.waiting, l.aside = slices.DeleteFunc(l.waiting, own), slices.DeleteFunc(l.aside, own)
	return len(l.waiting)+len(l.aside) < n
}

// Full is how many run and wait.
func (l *Line) Full() int64 { return l.open + int64(len(l.waiting)+len(l.aside)) }

// shift lets run whom there is room for, and refuses whom time or depth has
// run out for.
func (l *Line) shift(limit int64, now time.Duration) (s Shift) {
	late := func(p place) {
		if !l.stand(p, limit, now) {
			s.Refused = append(s.Refused, p.id)
		}
	}
	for len(l.waiting) > 0 && l.open < limit {
		p := l.waiting[0]
		l.waiting = l.waiting[1:]
		if now > p.giveUp {
			late(p)
			continue
		}
		l.open++
		s.Run = append(s.Run, p.id)
	}
	kept := l.waiting[:0]
	for _, p := range l.waiting {
		if len(kept) >= deepest*int(limit) || now+l.until(len(kept), limit) > p.giveUp {
			late(p)
			continue
		}
		kept = append(kept, p)
	}
	l.waiting = kept
	for len(l.aside) > 0 && l.open < limit {
		p := l.aside[0]
		l.aside = l.aside[1:]
		if now > p.last {
			s.Refused = append(s.Refused, p.id)
			continue
		}
		l.open++
		s.Run = append(s.Run, p.id)
	}
	return s
}
