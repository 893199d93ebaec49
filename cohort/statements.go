package cohort

import (
	"maps"
	"slices"
	"time"
)

// StatementsFor is how long a statement is kept and told on: as long as a claim that
// rests on it could be good for.
const StatementsFor = 4 * time.Second // (ours)

// Statements is a decision value: what the sidecars of a cohort said of themselves, as
// it was heard from them or from others, and whether a majority of them agrees that no
// newer word than the own one is in force. (DESIGN 7.4)
type Statements struct {
	all map[string]record
}

// record is the youngest that was heard of one sidecar.
type record struct {
	peer Peer
	// at is not later than when it was said.
	at time.Time
	// named is when anybody named it last.
	named time.Time
}

// said tells whether the record is a statement, and not only a name.
func (r record) said() bool { return r.peer.Said != nil }

// Hear takes what another sidecar answered to a question that was asked at a moment.
// Ages count from there, so that a statement is never taken for younger than it is. What
// is told of the asker itself it knows better.
func (s Statements) Hear(own string, peers []Peer, asked, now time.Time) Statements {
	next := s.kept(now)
	for _, p := range peers {
		if p.Addr == own {
			continue
		}
		at := time.Time{}
		if p.Said != nil {
			at = asked.Add(-time.Duration(p.Said.Age) * time.Millisecond)
		}
		next.take(p, at, now)
	}
	return next
}

// Refused takes that the machine of a sidecar, known in a boot, refused a connection
// that was tried at a moment.
func (s Statements) Refused(addr string, boot uint64, tried, now time.Time) Statements {
	next := s.kept(now)
	next.take(Peer{Addr: addr, Boot: boot, Said: &Statement{Dead: true}}, tried, now)
	return next
}

// kept is a copy without what is too old.
func (s Statements) kept(now time.Time) Statements {
	next := Statements{all: make(map[string]record, len(s.all))}
	for addr, r := range s.all {
		if r.said() && now.Sub(r.at) > StatementsFor {
			r.peer.Said, r.at = nil, time.Time{}
		}
		if r.said() || now.Sub(r.named) <= StatementsFor {
			next.all[addr] = r
		}
	}
	return next
}

// take keeps the younger of two statements; a mere name only says that there is such
// a sidecar.
func (s Statements) take(p Peer, at, now time.Time) {
	old, ok := s.all[p.Addr]
	switch {
	case now.Sub(at) > StatementsFor && p.Said != nil:
		return
	case !ok || p.Said != nil && at.After(old.at):
		old.peer, old.at = p, at
	case old.peer.Boot == p.Boot && old.peer.Rev < p.Rev:
		old.peer.Rev = p.Rev
	}
	old.named = now
	s.all[p.Addr] = old
}

// deadIn lists the boots of the nodes of a view that were found dead in just that boot.
func (s Statements) deadIn(v *View) map[string]uint64 {
	out := map[string]uint64{}
	for addr, r := range s.all {
		n, ok := v.nodes[addr]
		if ok && n.Boot == r.peer.Boot && r.said() && r.peer.Said.Dead {
			out[addr] = n.Boot
		}
	}
	return out
}

// Named lists the addresses of all that anybody named.
func (s Statements) Named() []string { return slices.Sorted(maps.Keys(s.all)) }

// Lacking lists the sidecars whose soft state differs from what a view has, and is not
// known to be older.
func (s Statements) Lacking(v *View) (out []string) {
	for addr, r := range s.all {
		have, ok := v.nodes[addr]
		switch {
		case r.said() && r.peer.Said.Dead:
		case !ok, have.Boot == r.peer.Boot && have.Rev < r.peer.Rev, have.Boot != r.peer.Boot && r.said():
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

// Highest names the sidecar that told of the highest stamp above one.
func (s Statements) Highest(above uint64) (addr string, ok bool) {
	for _, a := range s.Named() {
		if r := s.all[a]; r.said() && r.peer.Said.Stamp > above {
			addr, above, ok = a, r.peer.Said.Stamp, true
		}
	}
	return addr, ok
}

// Tell lists what is told to another sidecar: all that a view knows of, and all that
// was said lately, with ages as of now.
func (s Statements) Tell(own Peer, v *View, now time.Time) []Peer {
	out := []Peer{own}
	for _, addr := range union(v.Addrs(), s.Named()) {
		if addr == own.Addr {
			continue
		}
		r, heard := s.all[addr]
		n, known := v.nodes[addr]
		p := Peer{Addr: addr, Boot: n.Boot, Rev: n.Rev}
		switch {
		case heard && r.said() && now.Sub(r.at) <= StatementsFor:
			said := *r.peer.Said
			said.Age = age(r.at, now)
			if p.Said = &said; p.Boot != r.peer.Boot {
				p.Boot, p.Rev = r.peer.Boot, 0
			}
			p.Rev = max(p.Rev, r.peer.Rev)
		case !known:
			continue // what was only named by others is not passed on
		}
		out = append(out, p)
	}
	return out
}

// Sure tells as of when a majority of all known sidecars, the own one counted in, was
// without a newer word than the own one: the dead, and those that found that no
// majority of cores lives. Two majorities meet, so no newer word had been in force at
// a majority by then.
func (s Statements) Sure(own string, stamp uint64, known []string, now time.Time) (asOf time.Time, ok bool) {
	all := union(known, s.Named())
	all = slices.DeleteFunc(all, func(a string) bool { return a == own })
	agreed := []time.Time{now}
	for _, addr := range all {
		r := s.all[addr]
		if r.said() && (r.peer.Said.Dead || r.peer.Said.Alone && r.peer.Said.Stamp <= stamp) {
			agreed = append(agreed, r.at)
		}
	}
	majority := (len(all)+1)/2 + 1
	if len(agreed) < majority {
		return time.Time{}, false
	}
	slices.SortFunc(agreed, func(a, b time.Time) int { return b.Compare(a) })
	return agreed[majority-1], true
}
