package register

import (
	"maps"

	"curlewwalk/desired"
)

// Voter is one core's share of the register. On answers with the next state;
// a state with Dirty set must be on disk before the vote is sent. (DESIGN 6.2)
type Voter struct {
	Self     From
	Slots    int
	Phase    Phase
	Promised uint64
	Mark     Mark
	Word     desired.Word
	// Seats is the highest incarnation known of each slot.
	Seats map[int]uint64
	// Settled is the highest stamp known to be held by a majority; not on disk.
	Settled uint64
	// OathDirty and WordDirty say what must be saved.
	OathDirty, WordDirty bool
}

// Majority is how many of n slots decide.
func Majority(n int) int { return n/2 + 1 }

// On takes a ballot.
func (v Voter) On(b Ballot) (Voter, Vote) {
	v.OathDirty, v.WordDirty = false, false
	ok := v.admit(b)
	switch {
	case !ok:
	case b.Act == Prepare:
		// An epoch belongs to one slot, so hearing it twice is no clash.
		if ok = b.Epoch >= v.Promised; ok {
			v.OathDirty = b.Epoch > v.Promised
			v.Promised = b.Epoch
		}
	case b.Act == Propose:
		if ok = b.Epoch >= v.Promised && b.Mark.Epoch == b.Epoch; ok {
			v = v.accept(b.Mark, b.Word)
		}
	case b.Act == Settle:
		// A settled word may be copied whatever was promised since: each later
		// epoch has seen it. (DESIGN 6.4)
		if v.Mark.Compare(b.Mark) < 0 {
			v = v.accept(b.Mark, b.Word)
		}
		v.Settled = max(v.Settled, b.Mark.Stamp)
	case b.Act == Sit:
		if ok = b.From.Inc > v.Seats[b.From.Slot]; ok {
			v = v.seat(map[int]uint64{b.From.Slot: b.From.Inc})
		}
	}
	vote := Vote{From: v.Self, Act: b.Act, Epoch: b.Epoch, OK: ok, Phase: v.Phase, Promised: v.Promised,
		Mark: v.Mark, Settled: v.Settled, Seats: v.Seats}
	if b.Act == Prepare || b.Act == Read || b.Act == Sit {
		vote.Word = v.Word
	}
	return v, vote
}

// admit refuses all but reads while not established, and whoever lost its seat.
func (v Voter) admit(b Ballot) bool {
	if b.Act == Read {
		return true
	}
	return v.Phase == Established && (b.Act == Sit || b.From.Inc >= v.Seats[b.From.Slot])
}

func (v Voter) accept(m Mark, w desired.Word) Voter {
	v.Mark, v.Word, v.WordDirty = m, w, true
	v.Promised = max(v.Promised, m.Epoch)
	return v
}

func (v Voter) seat(seats map[int]uint64) Voter {
	next := maps.Clone(v.Seats)
	if next == nil {
		next = map[int]uint64{}
	}
	for s, inc := range seats {
		if inc > next[s] {
			next[s], v.OathDirty = inc, true
		}
	}
	v.Seats = next
	return v
}

// Born decides whether an empty core may be established, from the votes that
// the other slots gave to a Read. All slots must answer, and none may hold a
// word or have lost one. (DESIGN 6.5)
func (v Voter) Born(votes map[int]Vote) (Voter, bool) {
	if v.Phase != Virgin || len(votes) < v.Slots-1 {
		return v, false
	}
	for _, o := range votes {
		if o.Phase == Lost || o.Mark != (Mark{}) || o.Seats[v.Self.Slot] > v.Self.Inc {
			return v, false
		}
		v.Promised = max(v.Promised, o.Promised)
	}
	v.Phase = Established
	v.Self.Inc = max(v.Self.Inc, 1)
	v = v.seat(map[int]uint64{v.Self.Slot: v.Self.Inc})
	v.OathDirty = true
	return v, true
}

// Claimant is the incarnation with which an empty core asks for its seat: one
// more than any that the others know of.
func (v Voter) Claimant(votes map[int]Vote) From {
	inc := v.Self.Inc
	for _, o := range votes {
		inc = max(inc, o.Seats[v.Self.Slot])
	}
	return From{Slot: v.Self.Slot, Inc: inc + 1}
}

// Seated decides whether an empty core has copied from a majority of the
// established, from the votes they gave to its Sit. (DESIGN 6.5)
func (v Voter) Seated(self From, votes map[int]Vote) (Voter, bool) {
	var copied []Vote
	for _, o := range votes {
		if o.OK && o.Phase == Established {
			copied = append(copied, o)
		}
	}
	if v.Phase == Established || len(copied) < Majority(v.Slots) {
		return v, false
	}
	v.Self = self
	for _, o := range copied {
		v = v.seat(o.Seats)
		v.Promised = max(v.Promised, o.Promised)
		if v.Mark.Compare(o.Mark) < 0 {
			v = v.accept(o.Mark, o.Word)
		}
		v.Settled = max(v.Settled, o.Settled)
	}
	v.Phase = Established
	v.OathDirty = true
	return v, true
}

// Counted tells whether a vote may be counted: its voter still holds its seat
// as far as any of the votes says.
func Counted(votes map[int]Vote) map[int]Vote {
	seats := map[int]uint64{}
	for _, o := range votes {
		for s, inc := range o.Seats {
			seats[s] = max(seats[s], inc)
		}
	}
	out := map[int]Vote{}
	for s, o := range votes {
		if o.Phase == Established && o.From.Inc >= seats[s] {
			out[s] = o
		}
	}
	return out
}
