package consensus

import (
	"slices"
	"time"

	"curlewwalk/internal/config"
)

const (
	// woken is how long after its last look an usher has slept, not looked.
	woken = 2 * time.Second // (ours)
	// leastSlots is below what no set is shrunk.
	leastSlots = 3
)

// Asker is a core that asks for a seat.
type Asker struct {
	ID   uint64 `msgpack:"d"`
	Addr string `msgpack:"a"`
	Zone string `msgpack:"l"`
	// Passed is set once a core has passed it on to the one on duty.
	Passed bool `msgpack:"p,omitempty"`
}

// Place is a slot as the core on duty knows it: where its core was heard last.
type Place struct {
	Addr string
	Live bool
}

// Usher is a decision value: how the core on duty has the set of slots changed, for
// those who ask for a seat and those who are gone. (DESIGN 6.5)
type Usher struct {
	// GoneFor is how long a core may be without a sign of life before its slot goes.
	GoneFor time.Duration
	absent  map[int]time.Duration // since when a slot of the set has no live core
	looked  time.Duration
}

// Look takes which slots of the set have live cores. One that slept knows of nobody
// for how long it was away.
func (u Usher) Look(set []config.Member, places map[int]Place, now time.Duration) Usher {
	old := u.absent
	if u.looked == 0 || now-u.looked > woken {
		old = nil
	}
	u.absent, u.looked = map[int]time.Duration{}, now
	for _, m := range set {
		if places[m.Slot].Live {
			continue
		}
		u.absent[m.Slot] = now
		if at, ok := old[m.Slot]; ok {
			u.absent[m.Slot] = at
		}
	}
	return u
}

// gone tells whether a slot has had no live core for long.
func (u Usher) gone(slot int, now time.Duration) bool {
	at, ok := u.absent[slot]
	return ok && now-u.looked <= woken && now-at >= u.GoneFor
}

// Seat finds the change of the set that gives an asker a slot. Each disk gets a slot
// never used before: instead of the one that this address had before its disk was
// lost; else instead of one whose core is gone; else beside all others.
func (u Usher) Seat(a Asker, v Acceptor, places map[int]Place, now time.Duration) (Order, bool) {
	set := v.Sets().Now
	if v.Founded > 0 || len(set) == 0 {
		return Order{}, false // a system of static slots has none to give
	}
	o := Order{Kind: Reseat, Of: set, Seat: config.Member{Slot: max(v.Word.Top, set[len(set)-1].Slot) + 1, ID: a.ID, Addr: a.Addr}}
	if o.Seat.Slot > MostSlots || slices.ContainsFunc(set, func(m config.Member) bool { return m.ID == a.ID }) {
		return o, false
	}
	live, gone := 0, 0
	for _, m := range set {
		switch p := places[m.Slot]; {
		case p.Addr == a.Addr || p.Addr == "" && m.Addr == a.Addr:
			o.Out = m.Slot
		case p.Live:
			live++
		case gone == 0 && u.gone(m.Slot, now):
			gone = m.Slot
		}
	}
	if o.Out == 0 {
		o.Out = gone
	}
	if o.Out == 0 {
		// Whoever is silent may be back, or gone, in a moment.
		return o, live == len(set)
	}
	// What can't be settled is not begun.
	return o, live >= Majority(len(set))
}

// Strike finds a slot to strike: one whose core is gone, when the set is of even
// size or two are gone, the live ones being a majority of what is left.
func (u Usher) Strike(v Acceptor, now time.Duration) (Order, bool) {
	set := v.Sets().Now
	if v.Founded > 0 || len(set) <= max(leastSlots, len(v.Founders)) {
		return Order{}, false
	}
	out, gone := 0, 0
	for _, m := range set {
		if u.gone(m.Slot, now) {
			out = m.Slot
			gone++
		}
	}
	live := len(set) - len(u.absent)
	if gone == 0 || len(set)%2 == 1 && gone < 2 || live < Majority(len(set)) {
		return Order{}, false
	}
	return Order{Kind: Reseat, Of: set, Out: out}, true
}

// Leave finds the change by which a member that is being stopped leaves an even set.
// Such a set bears no more losses than the odd one without that member, and while the
// member is away it bears one fewer. An odd set stays as it is: the member may be back
// with its disk.
func Leave(v Acceptor) (Order, bool) {
	set := v.Sets().Now
	even := len(set)%2 == 0 && len(set) > max(leastSlots, len(v.Founders))
	if v.Founded > 0 || !v.Member() || !even || len(v.Sets().Before) > 0 {
		return Order{}, false
	}
	return Order{Kind: Reseat, Of: set, Out: v.Self.Slot}, true
}
