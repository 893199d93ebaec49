package membership

import (
	"encoding/binary"
	"hash/fnv"
)

// digest collects what a digest is taken of.
type digest []byte

func (d digest) num(n uint64) digest { return binary.AppendUvarint(d, n) }

func (d digest) text(s string) digest { return append(d.num(uint64(len(s))), s...) }

func (d digest) slots(set []int) digest {
	d = d.num(uint64(len(set)))
	for _, slot := range set {
		d = d.num(uint64(slot))
	}
	return d
}

func (d digest) flag(on bool) digest {
	if on {
		return d.num(1)
	}
	return d.num(0)
}

// sum is never zero.
func (d digest) sum() uint64 {
	h := fnv.New64a()
	h.Write(d)
	return max(1, h.Sum64())
}

// Marked is the seat with its mark, a digest of all but the wall clock.
func (c Seat) Marked() Seat {
	c.Mark = digest{}.num(uint64(c.Slot)).num(uint64(c.Slots)).text(c.Addr).num(c.Inc).num(c.Boot).text(c.Zone).
		flag(c.Established).num(c.Settled).slots(c.Set).slots(c.Before).num(c.Held).flag(c.Unable).sum()
	return c
}

// Digest is that of what hearsay can teach: who sits where, in which incarnation, and
// the newest set of slots. own is the teller's own seat, if it has one.
func (s Seats) Digest(own *Seat) uint64 {
	s = s.with(own)
	d := digest{}
	for _, c := range s.All() {
		d = d.num(uint64(c.Slot)).text(c.Addr).num(c.Inc)
	}
	set, before, _ := s.Set()
	return d.slots(set).slots(before).sum()
}
