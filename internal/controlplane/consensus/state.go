package consensus

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/config"
)

// What follows lets an exploration of all interleavings tell states apart: copies that
// share nothing, and canonical encodings. Two states of one encoding behave alike from
// here on. (DESIGN 14.9)

// Clone is a copy of the proposer that shares nothing that changes.
func (c *Proposer) Clone() *Proposer {
	out := *c
	out.votes, out.against, out.orders = maps.Clone(c.votes), maps.Clone(c.against), slices.Clone(c.orders)
	return &out
}

// AppendState appends an encoding of the proposer. Times are told as far as they matter to
// somebody whose next look at the clock is far later than any limit of the proposer's.
func (c *Proposer) AppendState(b []byte, now time.Duration) []byte {
	b = appendFrom(b, c.Self)
	b = appendMembers(b, c.founders)
	b = appendSets(b, c.sets)
	b = appendMembers(b, c.asked)
	b = appendNumbers(b, uint64(c.phase), c.epoch, c.known)
	b = appendMark(b, c.mark)
	b = AppendWord(b, c.word)
	b = appendMark(b, c.base)
	b = AppendWord(b, c.held)
	b = appendFlags(b, c.own, now < c.rest)
	b = appendNumbers(b, uint64(len(c.orders)))
	for _, o := range c.orders {
		b = appendNumbers(b, o.ID)
		b = appendMark(b, o.proposed)
		b = appendFlags(b, c.began < o.at)
	}
	if c.phase == idle {
		return b // the votes of a round that is over count for nothing
	}
	return appendVotes(appendVotes(b, c.votes), c.against)
}

func appendVotes(b []byte, votes map[int]Vote) []byte {
	b = appendNumbers(b, uint64(len(votes)))
	for _, slot := range slices.Sorted(maps.Keys(votes)) {
		b = appendNumbers(b, uint64(slot))
		b = votes[slot].AppendState(b)
	}
	return b
}

// AppendState appends an encoding of the acceptor.
func (v Acceptor) AppendState(b []byte) []byte {
	b = appendFrom(b, v.Self)
	b = append(b, v.Phase...)
	b = appendMembers(b, v.Founders)
	b = appendNumbers(b, uint64(v.Founded), v.Promised, v.Settled)
	b = appendMark(b, v.Mark)
	b = AppendWord(b, v.Word)
	return appendSeats(b, v.Seats)
}

// AppendState appends an encoding of the vote.
func (v Vote) AppendState(b []byte) []byte {
	b = appendFrom(b, v.From)
	b = append(b, v.Act...)
	b = append(b, v.Phase...)
	b = appendFlags(b, v.OK)
	b = appendNumbers(b, v.Epoch, v.Promised, v.Settled)
	b = appendMark(b, v.Mark)
	b = AppendWord(b, v.Word)
	b = appendSeats(b, v.Seats)
	return appendSets(b, v.Sets)
}

// AppendState appends an encoding of the ballot.
func (x Ballot) AppendState(b []byte) []byte {
	b = appendFrom(b, x.From)
	b = append(b, x.Act...)
	b = appendNumbers(b, x.Epoch)
	b = appendMark(b, x.Mark)
	return AppendWord(b, x.Word)
}

// AppendWord appends an encoding of what orders about configurations and the set of
// slots make of a word.
func AppendWord(b []byte, w config.Word) []byte {
	b = appendNumbers(b, w.Stamp, w.DesiredStamp, w.Generation, uint64(w.Top), uint64(len(w.Desired)), uint64(len(w.Taken)))
	b = append(b, w.Desired...)
	for _, t := range w.Taken {
		b = appendNumbers(b, t.Generation, uint64(len(t.Digest)))
		b = append(b, t.Digest...)
	}
	b = appendMembers(b, w.Slots)
	return appendMembers(b, w.Formerly)
}

func appendNumbers(b []byte, ns ...uint64) []byte {
	for _, n := range ns {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

func appendFlags(b []byte, flags ...bool) []byte {
	for _, f := range flags {
		n := byte(0)
		if f {
			n = 1
		}
		b = append(b, n)
	}
	return b
}

func appendMark(b []byte, m Mark) []byte { return appendNumbers(b, m.Epoch, m.Stamp) }

func appendFrom(b []byte, f From) []byte { return appendNumbers(b, uint64(f.Slot), f.Inc, f.ID) }

func appendMembers(b []byte, set []config.Member) []byte {
	b = appendNumbers(b, uint64(len(set)))
	for _, m := range set {
		b = appendNumbers(b, uint64(m.Slot), m.ID)
	}
	return b
}

func appendSets(b []byte, s Sets) []byte { return appendMembers(appendMembers(b, s.Now), s.Before) }

func appendSeats(b []byte, seats map[int]Chair) []byte {
	b = appendNumbers(b, uint64(len(seats)))
	for _, slot := range slices.Sorted(maps.Keys(seats)) {
		b = appendNumbers(b, uint64(slot), seats[slot].Inc, seats[slot].ID)
	}
	return b
}

// Holds tells whether the proposer goes on under an epoch.
func (c *Proposer) Holds(epoch uint64) bool { return c.phase != idle && c.epoch == epoch }

// Heeds tells whether a vote can still change what the proposer does: it opens a refusal, or
// belongs to the round of votes that is open, or to one that a change of the set may open
// again under the same epoch.
func (c *Proposer) Heeds(v Vote) bool {
	if len(c.orders) == 0 && (c.phase == idle || c.own) {
		return false
	}
	if v.Promised > c.known {
		return true
	}
	if c.epoch == 0 || v.Epoch != c.epoch {
		return false
	}
	changes := slices.ContainsFunc(c.orders, func(o Order) bool { return o.Kind == Reseat })
	switch v.Act {
	case Prepare:
		return c.phase == preparing || changes
	case Propose:
		return c.phase == proposing && (!v.OK || v.Mark == c.mark)
	}
	return false
}
