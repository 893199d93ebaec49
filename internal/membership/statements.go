package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// StatementsFor is how long a statement is kept and told on: as long as a claim that
// rests on it could be good for.
const StatementsFor = 4 * time.Second // (ours)

// Statements is a decision value: what the sidecars of a membership said of themselves, as
// it was heard from them or from others, and whether a majority of them agrees that no
// newer word than the own one is in force. (DESIGN 7.4)
type Statements struct {
	all map[string]record
}

// record is the youngest that was heard of one sidecar.
type record struct {
	// said is nil if it was only named.
	said *Statement
	// at is not later than when it was said.
	at time.Time
	// named is when anybody named it last.
	named time.Time
}

// alive tells whether it said of itself that it is in a boot.
func (r record) alive(boot uint64) bool { return r.said != nil && !r.said.Dead && r.said.Boot == boot }

// dead tells whether nobody listens at its address, of a boot.
func (r record) dead(boot uint64) bool { return r.said != nil && r.said.Dead && r.said.Boot == boot }

// Hear takes what another sidecar answered to a question that was asked at a moment.
// Ages count from there, so that a statement is never taken for younger than it is. What
// is told of the asker itself it knows better.
func (s Statements) Hear(own string, peers []Peer, asked, now time.Time) Statements {
	next := s.kept(now)
	for _, p := range peers {
		if p.Addr == own {
			continue
		}
		if p.Said == nil {
			next.name(p.Addr, now)
			continue
		}
		said := *p.Said
		said.Boot = cmp.Or(said.Boot, p.Boot)
		next.take(p.Addr, said, asked.Add(-time.Duration(said.Age)*time.Millisecond), now)
	}
	return next
}

// Refused takes that the machine of a sidecar, known in a boot, refused a connection
// that was tried at a moment.
func (s Statements) Refused(addr string, boot uint64, tried, now time.Time) Statements {
	next := s.kept(now)
	next.take(addr, Statement{Boot: boot, Dead: true}, tried, now)
	return next
}

// kept is a copy without what is too old.
func (s Statements) kept(now time.Time) Statements {
	next := Statements{all: make(map[string]record, len(s.all))}
	for addr, r := range s.all {
		if now.Sub(r.at) > StatementsFor {
			r.said = nil
		}
		if r.said != nil || now.Sub(r.named) <= StatementsFor {
			next.all[addr] = r
		}
	}
	return next
}

// name takes that there is such a sidecar.
func (s Statements) name(addr string, now time.Time) {
	r := s.all[addr]
	r.named = now
	s.all[addr] = r
}

// take keeps the younger of two statements.
func (s Statements) take(addr string, said Statement, at, now time.Time) {
	s.name(addr, now)
	r := s.all[addr]
	if now.Sub(at) <= StatementsFor && (r.said == nil || at.After(r.at)) {
		r.said, r.at = &said, at
		s.all[addr] = r
	}
}

// deadIn lists the boots of the nodes of a view that were found dead in just that boot.
func (s Statements) deadIn(v *View) map[string]uint64 {
	out := map[string]uint64{}
	for addr, r := range s.all {
		if n, ok := v.nodes[addr]; ok && r.dead(n.Boot) {
			out[addr] = n.Boot
		}
	}
	return out
}

// Named lists the addresses of all that anybody named.
func (s Statements) Named() []string { return slices.Sorted(maps.Keys(s.all)) }

// Lacking lists whose soft state a teller has and a view hasn't, or has in an earlier
// revision or boot.
func (s Statements) Lacking(v *View, told []Peer) (out []string) {
	for _, p := range told {
		have, ok := v.nodes[p.Addr]
		r := s.all[p.Addr]
		switch {
		case p.Boot == 0 || r.dead(p.Boot):
		case !ok, have.Boot == p.Boot && have.Rev < p.Rev, have.Boot != p.Boot && r.alive(p.Boot):
			out = append(out, p.Addr)
		}
	}
	return out
}

// Highest names the sidecar that told of the highest stamp above one.
func (s Statements) Highest(above uint64) (addr string, ok bool) {
	for _, a := range s.Named() {
		if r := s.all[a]; r.said != nil && r.said.Stamp > above {
			addr, above, ok = a, r.said.Stamp, true
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
		n, known := v.nodes[addr]
		r := s.all[addr]
		p := Peer{Addr: addr, Boot: n.Boot, Rev: n.Rev}
		if r.said != nil && now.Sub(r.at) <= StatementsFor {
			said := *r.said
			if said.Age = age(r.at, now); said.Boot == p.Boot {
				said.Boot = 0
			}
			p.Said = &said
		}
		if known || p.Said != nil { // what was only named by others is not passed on
			out = append(out, p)
		}
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
		if r.said != nil && (r.said.Dead || r.said.Alone && r.said.Stamp <= stamp) {
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
