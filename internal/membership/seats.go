package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Silence is how long a core may be unheard before it counts as not live.
const Silence = 1500 * time.Millisecond // (ours)

// forgetAfter is how long an address that never answers is still tried.
const forgetAfter = 30 * time.Second // (ours)

// Seats is a decision value: which core sits in which slot, from what was
// heard. Only a core's own word seats it; hearsay makes it a candidate.
type Seats struct {
	bySlot     map[int]heard
	refused    map[string]time.Time // addresses where nobody listened
	candidates map[string]time.Time
	told       map[int]Seat // by hearsay alone
	set        Seat         // whose set is the newest told of
}

type heard struct {
	seat Seat
	at   time.Time
}

// Hear takes a core's own word and returns the next value.
func (s Seats) Hear(c Seat, now time.Time) Seats {
	old, ok := s.bySlot[c.Slot]
	older := c.Inc < old.seat.Inc
	// Of two that claim one slot in the same incarnation (none established
	// yet), the one already heard keeps it while it is live.
	rival := c.Inc == old.seat.Inc && c.Addr != old.seat.Addr && now.Sub(old.at) < Silence
	if ok && (older || rival) {
		return s
	}
	next := s
	if next.bySlot = maps.Clone(s.bySlot); next.bySlot == nil {
		next.bySlot = map[int]heard{}
	}
	next.bySlot[c.Slot] = heard{seat: c, at: now}
	return next.learn(c).prune(now)
}

// learn takes a set of slots, if it is newer than the one known.
func (s Seats) learn(c Seat) Seats {
	if c.Slots > 0 && (s.set.Slots == 0 || c.Held > s.set.Held || c.Held == s.set.Held &&
		(len(s.set.Set) == 0 || c.Settled >= c.Held && s.set.Settled < s.set.Held)) {
		s.set = c
	}
	return s
}

// prune forgets the cores of slots that were struck. One that waits for its slot to
// be added is kept while it is live.
func (s Seats) prune(now time.Time) Seats {
	if len(s.set.Set) == 0 {
		return s
	}
	keep := union(s.set.Set, s.set.Before)
	stale := func(slot int) bool {
		return !slices.Contains(keep, slot) && now.Sub(s.bySlot[slot].at) >= Silence
	}
	s.bySlot, s.told = maps.Clone(s.bySlot), maps.Clone(s.told)
	maps.DeleteFunc(s.told, func(slot int, _ Seat) bool { return stale(slot) })
	maps.DeleteFunc(s.bySlot, func(slot int, _ heard) bool { return stale(slot) })
	return s
}

// union lists the members of two lists, each once, in order.
func union[T cmp.Ordered](a, b []T) []T {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// Set is the newest set of slots that any core told of, and the stamp of the word
// that it is of.
func (s Seats) Set() (set, before []int, held uint64) {
	if len(s.set.Set) > 0 {
		return s.set.Set, s.set.Before, s.set.Held
	}
	for i := range s.set.Slots { // an older version tells their number only
		set = append(set, i+1)
	}
	return set, nil, 0
}

// Hearsay takes seats that another process knows of.
func (s Seats) Hearsay(known []Seat, now time.Time) Seats {
	next := s
	next.candidates, next.told = maps.Clone(s.candidates), maps.Clone(s.told)
	if next.candidates == nil {
		next.candidates, next.told = map[string]time.Time{}, map[int]Seat{}
	}
	for _, c := range known {
		next.candidates[c.Addr] = now
		if old, ok := next.told[c.Slot]; !ok || c.Inc > old.Inc {
			next.told[c.Slot] = c
		}
		next = next.learn(c)
	}
	maps.DeleteFunc(next.candidates, func(_ string, at time.Time) bool { return now.Sub(at) > forgetAfter })
	return next.prune(now)
}

// Refused takes that nobody listened at an address.
func (s Seats) Refused(addr string, now time.Time) Seats {
	next := s
	if next.refused = maps.Clone(s.refused); next.refused == nil {
		next.refused = map[string]time.Time{}
	}
	maps.DeleteFunc(next.refused, func(_ string, at time.Time) bool { return now.Sub(at) > Silence })
	next.refused[addr] = now
	return next
}

// NoMajority tells whether so many cores are known to be dead that the others,
// heard or silent, can't be a majority. A slot whose core never spoke to this
// node is counted as others told of it. (DESIGN 7.2)
func (s Seats) NoMajority(now time.Time) bool {
	dead := map[int]bool{}
	for _, c := range s.All() {
		if at, ok := s.refused[c.Addr]; ok && now.Sub(at) < Silence && at.After(s.bySlot[c.Slot].at) {
			dead[c.Slot] = true
		}
	}
	none := func(set []int) bool {
		left := 0
		for _, slot := range set {
			if !dead[slot] {
				left++
			}
		}
		return left < len(set)/2+1
	}
	set, before, _ := s.Set()
	// While a change of the set may not have been settled, either set may decide.
	return len(set) > 0 && none(set) && (len(before) == 0 || none(before))
}

// All lists the cores by slot: those that spoke for themselves, and, for other
// slots, those that others told of.
func (s Seats) All() []Seat {
	out := s.Known()
	for slot, c := range s.told {
		if _, ok := s.bySlot[slot]; !ok {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Seat) int { return cmp.Compare(a.Slot, b.Slot) })
	return out
}

// Known lists the seated cores by slot, live or not.
func (s Seats) Known() []Seat {
	var out []Seat
	for _, h := range s.bySlot {
		out = append(out, h.seat)
	}
	slices.SortFunc(out, func(a, b Seat) int { return cmp.Compare(a.Slot, b.Slot) })
	return out
}

// with takes a core's own seat in, as it tells of it itself.
func (s Seats) with(own *Seat) Seats {
	if own == nil {
		return s
	}
	if s.bySlot = maps.Clone(s.bySlot); s.bySlot == nil {
		s.bySlot = map[int]heard{}
	}
	s.bySlot[own.Slot] = heard{seat: *own}
	return s.learn(*own)
}

// Marked finds a seated core by the mark that it told.
func (s Seats) Marked(mark uint64) (Seat, bool) {
	for _, h := range s.bySlot {
		if mark != 0 && h.seat.Mark == mark {
			return h.seat, true
		}
	}
	return Seat{}, false
}

// Mark is the mark of the seated core at an address, zero if there is none.
func (s Seats) Mark(addr string) uint64 {
	for _, h := range s.bySlot {
		if h.seat.Addr == addr {
			return h.seat.Mark
		}
	}
	return 0
}

// Heard takes what a heartbeat or a response tells, and returns the seat that spoke for
// itself, if one did.
func (s Seats) Heard(h Heartbeat, now time.Time) (next Seats, spoke *Seat) {
	spoke = h.Seat
	if c, ok := s.Marked(h.Same); ok && spoke == nil {
		c.Wall, spoke = h.Wall, &c
	}
	if spoke != nil {
		s = s.Hear(*spoke, now)
	}
	return s.Hearsay(h.Know, now), spoke
}

// Answer is the response to a heartbeat, as far as it is of cores; own is the seat of whom
// answers, if it has one, and digest that of what it knows.
func (s Seats) Answer(h Heartbeat, own *Seat, digest uint64) Heartbeat {
	out := Heartbeat{Digest: digest}
	if _, ok := s.Marked(h.Same); h.Same != 0 && !ok {
		out.Whole = true
	}
	if h.Digest != digest {
		out.Know = s.All()
	}
	switch {
	case own == nil:
	case h.Have != 0 && h.Have == own.Mark:
		if out.Same = own.Mark; h.Node == nil && h.Pulse == nil {
			out.Wall = own.Wall
		}
	default:
		out.Seat = own
	}
	return out
}

// Live lists the seated cores heard of lately, by slot: the agreed order of
// duty.
func (s Seats) Live(now time.Time) []Seat {
	return slices.DeleteFunc(s.Known(), func(c Seat) bool { return now.Sub(s.bySlot[c.Slot].at) >= Silence })
}

// SettledPast tells whether a live core has told that a newer word than that of a stamp is
// settled. Settled words only grow, so what a core told once stays true.
func (s Seats) SettledPast(stamp uint64, now time.Time) bool {
	return slices.ContainsFunc(s.Live(now), func(c Seat) bool { return c.Settled > stamp })
}

// Wall is the middle one of the live cores' wall clocks, the own one counted in:
// it is right as long as most of them are. (DESIGN 17.2)
func (s Seats) Wall(own time.Time, ownSlot int, now time.Time) time.Time {
	all := []time.Time{own}
	for _, c := range s.Live(now) {
		if c.Slot != ownSlot && c.Wall != 0 {
			all = append(all, time.Unix(0, c.Wall).Add(now.Sub(s.bySlot[c.Slot].at)))
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all[(len(all)-1)/2]
}

// At finds the core in a slot.
func (s Seats) At(slot int) (Seat, bool) {
	h, ok := s.bySlot[slot]
	return h.seat, ok
}

// Targets lists whom to heartbeat: all cores and candidates, and the seeds
// while any slot lacks a live core.
func (s Seats) Targets(own string, seeds []string, now time.Time) []string {
	set := map[string]bool{}
	for _, c := range s.All() {
		set[c.Addr] = true
	}
	for a := range s.candidates {
		set[a] = true
	}
	slots, _, _ := s.Set()
	if live := len(s.Live(now)); live == 0 || live < len(slots) {
		for _, a := range seeds {
			set[a] = true
		}
	}
	delete(set, own)
	return slices.Sorted(maps.Keys(set))
}
