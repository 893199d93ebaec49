package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// PeerStatusTTL is how long a statement is kept and told on: as long as a claim that
// rests on it could be good for.
const PeerStatusTTL = 4 * time.Second // (ours)

// PeerStatusTable is a decision value: what the sidecars of a membership said of themselves, as
// it was heard from them or from others, and whether a majority of them agrees that no
// newer word than the own one is in force. (DESIGN 7.4)
type PeerStatusTable struct {
	records map[string]peerRecord
}

// peerRecord is the youngest that was heard of one sidecar.
type peerRecord struct {
	// status is nil if it was only named.
	status *PeerStatus
	// observedAt is not later than when it was said.
	observedAt time.Time
	// mentionedAt is when anybody named it last.
	mentionedAt time.Time
}

// isAlive tells whether it said of itself that it is in a boot.
func (r peerRecord) isAlive(incarnation uint64) bool {
	return r.status != nil && !r.status.Dead && r.status.Incarnation == incarnation
}

// isDead tells whether nobody listens at its address, of a boot.
func (r peerRecord) isDead(incarnation uint64) bool {
	return r.status != nil && r.status.Dead && r.status.Incarnation == incarnation
}

// Observe takes what another sidecar answered to a question that was asked at a moment.
// Ages count from there, so that a statement is never taken for younger than it is. What
// is told of the asker itself it knows better.
func (statuses PeerStatusTable) Observe(own string, peers []Peer, asked, now time.Time) PeerStatusTable {
	next := statuses.unexpired(now)
	for _, p := range peers {
		if p.Addr == own {
			continue
		}
		if p.Status == nil {
			next.mention(p.Addr, now)
			continue
		}
		status := *p.Status
		status.Incarnation = cmp.Or(status.Incarnation, p.Incarnation)
		next.record(p.Addr, status, asked.Add(-time.Duration(status.Age)*time.Millisecond), now)
	}
	return next
}

// MarkDead takes that the machine of a sidecar, known in a boot, refused a connection
// that was tried at a moment.
func (statuses PeerStatusTable) MarkDead(addr string, incarnation uint64, tried, now time.Time) PeerStatusTable {
	next := statuses.unexpired(now)
	next.record(addr, PeerStatus{Incarnation: incarnation, Dead: true}, tried, now)
	return next
}

// unexpired is a copy without what is too old.
func (statuses PeerStatusTable) unexpired(now time.Time) PeerStatusTable {
	next := PeerStatusTable{records: make(map[string]peerRecord, len(statuses.records))}
	for addr, r := range statuses.records {
		if now.Sub(r.observedAt) > PeerStatusTTL {
			r.status = nil
		}
		if r.status != nil || now.Sub(r.mentionedAt) <= PeerStatusTTL {
			next.records[addr] = r
		}
	}
	return next
}

// mention takes that there is such a sidecar.
func (statuses PeerStatusTable) mention(addr string, now time.Time) {
	r := statuses.records[addr]
	r.mentionedAt = now
	statuses.records[addr] = r
}

// record keeps the younger of two statements.
func (statuses PeerStatusTable) record(addr string, status PeerStatus, at, now time.Time) {
	statuses.mention(addr, now)
	r := statuses.records[addr]
	if now.Sub(at) <= PeerStatusTTL && (r.status == nil || at.After(r.observedAt)) {
		r.status, r.observedAt = &status, at
		statuses.records[addr] = r
	}
}

// deadIncarnations lists the boots of the nodes of a view that were found dead in just that boot.
func (statuses PeerStatusTable) deadIncarnations(v *View) map[string]uint64 {
	out := map[string]uint64{}
	for addr, r := range statuses.records {
		if n, ok := v.nodes[addr]; ok && r.isDead(n.Incarnation) {
			out[addr] = n.Incarnation
		}
	}
	return out
}

// Addrs lists the addresses of all that anybody named.
func (statuses PeerStatusTable) Addrs() []string { return slices.Sorted(maps.Keys(statuses.records)) }

// Outdated lists whose soft state a teller has and a view hasn't, or has in an earlier
// revision or boot.
func (statuses PeerStatusTable) Outdated(v *View, peers []Peer) (out []string) {
	for _, p := range peers {
		have, ok := v.nodes[p.Addr]
		r := statuses.records[p.Addr]
		switch {
		case p.Incarnation == 0 || r.isDead(p.Incarnation):
		case !ok, have.Incarnation == p.Incarnation && have.Version < p.Version, have.Incarnation != p.Incarnation && r.isAlive(p.Incarnation):
			out = append(out, p.Addr)
		}
	}
	return out
}

// NewestAbove names the sidecar that told of the highest stamp above one.
func (statuses PeerStatusTable) NewestAbove(above uint64) (addr string, ok bool) {
	for _, a := range statuses.Addrs() {
		if r := statuses.records[a]; r.status != nil && r.status.AppliedRevision > above {
			addr, above, ok = a, r.status.AppliedRevision, true
		}
	}
	return addr, ok
}

// Report lists what is told to another sidecar: all that a view knows of, and all that
// was said lately, with ages as of now.
func (statuses PeerStatusTable) Report(own Peer, v *View, now time.Time) []Peer {
	out := []Peer{own}
	for _, addr := range union(v.Addrs(), statuses.Addrs()) {
		if addr == own.Addr {
			continue
		}
		n, known := v.nodes[addr]
		r := statuses.records[addr]
		p := Peer{Addr: addr, Incarnation: n.Incarnation, Version: n.Version}
		if r.status != nil && now.Sub(r.observedAt) <= PeerStatusTTL {
			status := *r.status
			if status.Age = ageMilliseconds(r.observedAt, now); status.Incarnation == p.Incarnation {
				status.Incarnation = 0
			}
			p.Status = &status
		}
		if known || p.Status != nil { // what was only named by others is not passed on
			out = append(out, p)
		}
	}
	return out
}

// ConfirmedAsOf tells as of when a majority of all known sidecars, the own one counted in, was
// without a newer word than the own one: the dead, and those that found that no
// majority of cores lives. Two majorities meet, so no newer word had been in force at
// a majority by then.
func (statuses PeerStatusTable) ConfirmedAsOf(own string, revision uint64, known []string, now time.Time) (asOf time.Time, ok bool) {
	all := union(known, statuses.Addrs())
	all = slices.DeleteFunc(all, func(a string) bool { return a == own })
	agreed := []time.Time{now}
	for _, addr := range all {
		r := statuses.records[addr]
		if r.status != nil && (r.status.Dead || r.status.QuorumLost && r.status.AppliedRevision <= revision) {
			agreed = append(agreed, r.observedAt)
		}
	}
	majority := (len(all)+1)/2 + 1
	if len(agreed) < majority {
		return time.Time{}, false
	}
	slices.SortFunc(agreed, func(a, b time.Time) int { return b.Compare(a) })
	return agreed[majority-1], true
}
