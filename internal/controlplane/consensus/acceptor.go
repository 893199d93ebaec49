package consensus

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"

	"curlewwalk/internal/config"
)

// Acceptor is one core's share of the register. On answers with the next state;
// a state with Dirty set must be on disk before the vote is sent. (DESIGN 6.2)
type Acceptor struct {
	Self From
	// Founded is how many static slots there are; zero where slots come and go.
	// Founders are those that it began with there, for one of them.
	Founded  int
	Founders []config.Member
	Phase    Phase
	Promised uint64
	Mark     Mark
	Word     config.Word
	// Seats is the highest incarnation known of each slot.
	Seats map[int]Chair
	// Settled is the highest stamp known to be held by a majority; not on disk.
	Settled uint64
	// OathDirty and WordDirty say what must be saved.
	OathDirty, WordDirty bool
}

// Majority is how many of n slots decide.
func Majority(n int) int { return n/2 + 1 }

// On takes a ballot.
func (v Acceptor) On(b Ballot) (Acceptor, Vote) {
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
		// An overtaken proposal of the same epoch must not undo a later one.
		// One that comes again is on disk already: a mark is of one word only.
		if ok = b.Epoch >= v.Promised && b.Mark.Epoch == b.Epoch && b.Mark.Compare(v.Mark) >= 0; ok && b.Mark != v.Mark {
			v = v.accept(b.Mark, b.Word)
		}
	case b.Act == Settle:
		// A settled word may be copied whatever was promised since: each later
		// epoch has seen it. (DESIGN 6.4)
		if v.Mark.Compare(b.Mark) < 0 {
			v = v.accept(b.Mark, b.Word)
		}
		v = v.settle(b.Mark.Stamp)
	case b.Act == Sit:
		if ok = b.From.Inc > v.Seats[b.From.Slot].Inc; ok {
			v = v.seat(map[int]Chair{b.From.Slot: {Inc: b.From.Inc, ID: b.From.ID}})
		}
	}
	vote := Vote{
		From: v.Self, Act: b.Act, Epoch: b.Epoch, OK: ok, Phase: v.Phase, Promised: v.Promised,
		Mark: v.Mark, Settled: v.Settled, Seats: v.Seats, Sets: v.Sets(),
	}
	if b.Act == Prepare || b.Act == Read || b.Act == Sit {
		vote.Word = v.Word
	}
	return v, vote
}

// admit refuses all but reads while not established, and whoever lost its seat.
func (v Acceptor) admit(b Ballot) bool {
	if b.Act == Read || b.Act == Look {
		return true
	}
	if v.Phase == Seeking {
		return b.Act != Sit
	}
	if b.Act == Sit && v.Founded == 0 {
		return false // slots that come and go are given by the word
	}
	return v.Phase == Established && (b.Act == Sit || b.From.holds(v.Seats[b.From.Slot]))
}

func (v Acceptor) accept(m Mark, w config.Word) Acceptor {
	v.Mark, v.Word, v.WordDirty = m, w, true
	v.Promised = max(v.Promised, m.Epoch)
	return v.named()
}

// named gives an acceptor that seeks a seat the slot under which the held word names it.
func (v Acceptor) named() Acceptor {
	if v.Phase != Seeking {
		return v
	}
	for _, m := range v.Word.Slots {
		if m.ID == v.Self.ID && m.Slot != v.Self.Slot {
			v.Self, v.OathDirty = From{Slot: m.Slot, Inc: 1, ID: m.ID}, true
		}
	}
	return v
}

func (v Acceptor) seat(seats map[int]Chair) Acceptor {
	next := maps.Clone(v.Seats)
	if next == nil {
		next = map[int]Chair{}
	}
	for s, c := range seats {
		if c.Inc > next[s].Inc {
			next[s], v.OathDirty = c, true
		}
	}
	v.Seats = next
	return v
}

// Born decides whether an empty core may be established, from the votes that
// the other slots gave to a Read. All slots must answer, and none may hold a
// word or have lost one. Those already born must have seen this very disk at
// their birth: else it came in place of another, and takes its seat by Sit.
// (DESIGN 6.5)
func (v Acceptor) Born(votes map[int]Vote) (Acceptor, bool) {
	if v.Phase != Virgin || len(votes) < v.Founded-1 {
		return v, false
	}
	chairs := map[int]Chair{v.Self.Slot: {Inc: 1, ID: v.Self.ID}}
	promised := v.Promised
	for s, o := range votes {
		if o.Phase == Lost || o.Mark != (Mark{}) || o.Phase == Established && o.Seats[v.Self.Slot] != chairs[v.Self.Slot] {
			return v, false
		}
		chairs[s] = Chair{Inc: max(1, o.From.Inc), ID: o.From.ID}
		promised = max(promised, o.Promised)
	}
	v.Phase, v.Promised, v.Self.Inc = Established, promised, 1
	v = v.seat(chairs)
	v.OathDirty = true
	return v, true
}

// Claimant is the incarnation with which an empty core asks for its seat: one
// more than any that the others know of. It may ask once a majority of the
// established answer.
func (v Acceptor) Claimant(votes map[int]Vote) (From, bool) {
	inc := v.Self.Inc
	for _, o := range votes {
		inc = max(inc, o.Seats[v.Self.Slot].Inc)
	}
	return From{Slot: v.Self.Slot, Inc: inc + 1, ID: v.Self.ID}, len(Counted(votes)) >= Majority(v.Founded)
}

// Seated decides whether an empty core has copied from a majority of the
// established, from the votes they gave to its Sit. (DESIGN 6.5)
func (v Acceptor) Seated(self From, votes map[int]Vote) (Acceptor, bool) {
	// An acceptor that was swapped out itself may not know it: it does not count.
	copied := Counted(votes)
	maps.DeleteFunc(copied, func(_ int, o Vote) bool { return !o.OK })
	if v.Phase == Established || len(copied) < Majority(v.Founded) {
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

// Counted leaves the votes that may be counted: those of acceptors that still hold their seats as far as any of the votes says.
func Counted(votes map[int]Vote) map[int]Vote {
	out := map[int]Vote{}
	for s, o := range votes {
		ok := o.Phase == Established || o.Phase == Seeking
		for _, p := range votes {
			ok = ok && o.From.holds(p.Seats[o.From.Slot])
		}
		if ok {
			out[s] = o
		}
	}
	return out
}

// Newest finds the newest word among counted votes that are complete; held tells
// whether majorities are known to hold it.
func Newest(votes map[int]Vote, own Sets) (top Vote, held bool) {
	top, sets := Top(votes, own)
	same, settled := map[int]Vote{}, false
	for s, v := range votes {
		if v.Mark == top.Mark {
			same[s] = v
			settled = settled || v.Settled == v.Mark.Stamp
		}
	}
	return top, settled || sets.Quorum(same)
}

// Sets are the sets that this acceptor knows of.
func (v Acceptor) Sets() Sets {
	switch {
	case len(v.Word.Slots) > 0:
		return Sets{Now: v.Word.Slots, Before: v.Word.Formerly}
	case v.Founded > 0:
		return Sets{Now: static(v.Founded)}
	}
	return Sets{Now: v.Founders}
}

// Member tells whether the set in force, as far as this acceptor knows, names it.
func (v Acceptor) Member() bool { return v.Phase == Established && has(v.Sets().Now, v.Self) }

// Struck tells whether a settled word has struck its slot. While a majority of the
// set before is still needed, its vote is.
func (v Acceptor) Struck() bool {
	return v.Founded == 0 && v.Phase == Established && v.Settled == v.Mark.Stamp && !has(v.Sets().Union(), v.Self)
}

// Founder is an empty core's first state as one of the founders, at the first start
// of a whole system. All know the identities of all, so no word is needed between
// them. (DESIGN 6.5)
func (v Acceptor) Founder(slot int, addrs []string) Acceptor {
	for i, a := range addrs {
		v.Founders = append(v.Founders, config.Member{Slot: i + 1, ID: founderID(a), Addr: a})
	}
	v.Self, v.Phase, v.OathDirty = From{Slot: slot, Inc: 1, ID: founderID(addrs[slot-1])}, Established, true
	return v
}

// founderID is the identity of the founder at an address.
func founderID(addr string) uint64 {
	sum := sha256.Sum256([]byte("curlewwalk founder " + addr))
	return binary.BigEndian.Uint64(sum[:]) | 1
}

// Afresh is what becomes of an acceptor whose slot was struck: it seeks a seat under a
// new identity. What it holds it may keep: no set yet counts what that identity says.
func (v Acceptor) Afresh(id uint64) Acceptor {
	v.Phase, v.Self, v.OathDirty = Seeking, From{ID: id}, true
	return v
}

// settle notes that the held word is settled; one that it names has its seat by it.
// The word may have been read from a disk that lost power before it took the slot.
func (v Acceptor) settle(stamp uint64) Acceptor {
	v.Settled = max(v.Settled, stamp)
	v = v.named()
	if v.Phase == Seeking && v.Settled == v.Mark.Stamp && v.Self.Slot != 0 && has(v.Sets().Now, v.Self) {
		v.Phase, v.OathDirty = Established, true
	}
	return v
}
