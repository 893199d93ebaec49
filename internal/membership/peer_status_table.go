package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// PeerStatusTTL is how long a status is kept and passed on. It equals the duration of a sidecar's
// lease, so a status is kept as long as a lease that depends on it could be valid.
const PeerStatusTTL = 4 * time.Second

// PeerStatusTable holds the statuses that sidecars reported of themselves, received directly or
// through other sidecars. It determines whether a majority of the sidecars confirms that no control
// state is newer than the one in force. The table is an immutable value: exported methods that
// change it return the next table. The zero value is an empty table. (DESIGN 7.4)
type PeerStatusTable struct {
	records map[string]peerRecord
}

// peerRecord is the newest information about one sidecar.
type peerRecord struct {
	// status is nil if other sidecars only mentioned this one.
	status *PeerStatus
	// observedAt is when the status was reported, or earlier, but never later.
	observedAt time.Time
	// mentionedAt is when any sidecar last mentioned this one.
	mentionedAt time.Time
}

// isAlive reports whether the sidecar reported that it runs in the given incarnation.
func (r peerRecord) isAlive(incarnation uint64) bool {
	return r.status != nil && !r.status.Dead && r.status.Incarnation == incarnation
}

// isDead reports whether the sidecar was found dead in the given incarnation.
func (r peerRecord) isDead(incarnation uint64) bool {
	return r.status != nil && r.status.Dead && r.status.Incarnation == incarnation
}

// isConfirming reports whether the sidecar confirms that it has no revision above the given one in
// force. It does if it is dead, or if it found the quorum lost while its applied revision was not
// higher.
func (r peerRecord) isConfirming(revision uint64) bool {
	return r.status != nil && (r.status.Dead || r.status.QuorumLost && r.status.AppliedRevision <= revision)
}

// Observe records the peers of a response. The ages of their statuses count back from requestedAt,
// when the request was sent, so that no status is assumed to be younger than it is. own is the
// requesting sidecar; what other sidecars report of it is ignored.
func (t PeerStatusTable) Observe(own string, peers []Peer, requestedAt, now time.Time) PeerStatusTable {
	next := t.unexpired(now)
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
		next.record(p.Addr, status, requestedAt.Add(-time.Duration(status.Age)*time.Millisecond), now)
	}
	return next
}

// MarkDead records that the address of a sidecar refused a connection attempt made at attemptedAt.
// incarnation is the known incarnation of the sidecar.
func (t PeerStatusTable) MarkDead(addr string, incarnation uint64, attemptedAt, now time.Time) PeerStatusTable {
	next := t.unexpired(now)
	next.record(addr, PeerStatus{Incarnation: incarnation, Dead: true}, attemptedAt, now)
	return next
}

// unexpired returns a copy of the table without entries older than PeerStatusTTL.
func (t PeerStatusTable) unexpired(now time.Time) PeerStatusTable {
	next := PeerStatusTable{records: make(map[string]peerRecord, len(t.records))}
	for addr, r := range t.records {
		if now.Sub(r.observedAt) > PeerStatusTTL {
			r.status = nil
		}
		if r.status != nil || now.Sub(r.mentionedAt) <= PeerStatusTTL {
			next.records[addr] = r
		}
	}
	return next
}

// mention records in place that the sidecar was mentioned.
func (t PeerStatusTable) mention(addr string, now time.Time) {
	r := t.records[addr]
	r.mentionedAt = now
	t.records[addr] = r
}

// record stores a status in place, unless the status has expired or the table has a younger one.
func (t PeerStatusTable) record(addr string, status PeerStatus, at, now time.Time) {
	t.mention(addr, now)
	r := t.records[addr]
	if now.Sub(at) <= PeerStatusTTL && (r.status == nil || at.After(r.observedAt)) {
		r.status, r.observedAt = &status, at
		t.records[addr] = r
	}
}

// deadIncarnations returns the incarnations of the nodes in a view that were found dead in exactly
// that incarnation, by address.
func (t PeerStatusTable) deadIncarnations(view *View) map[string]uint64 {
	out := map[string]uint64{}
	for addr, r := range t.records {
		if n, ok := view.nodes[addr]; ok && r.isDead(n.Incarnation) {
			out[addr] = n.Incarnation
		}
	}
	return out
}

// Addrs returns the addresses of all sidecars that any sidecar mentioned.
func (t PeerStatusTable) Addrs() []string { return slices.Sorted(maps.Keys(t.records)) }

// Outdated returns the addresses of the peers whose nodes the view lacks, or has in an older
// version or incarnation than the sender of the peers.
func (t PeerStatusTable) Outdated(view *View, peers []Peer) (out []string) {
	for _, p := range peers {
		have, ok := view.nodes[p.Addr]
		r := t.records[p.Addr]
		switch {
		case p.Incarnation == 0 || r.isDead(p.Incarnation):
		case !ok,
			have.Incarnation == p.Incarnation && have.Version < p.Version,
			have.Incarnation != p.Incarnation && r.isAlive(p.Incarnation):
			out = append(out, p.Addr)
		}
	}
	return out
}

// NewestAbove returns the sidecar with the highest applied revision above the given one. ok is
// false if there is none.
func (t PeerStatusTable) NewestAbove(above uint64) (addr string, ok bool) {
	for _, a := range t.Addrs() {
		if r := t.records[a]; r.status != nil && r.status.AppliedRevision > above {
			addr, above, ok = a, r.status.AppliedRevision, true
		}
	}
	return addr, ok
}

// Report returns the peers to send to another sidecar: own, all nodes of the view, and all
// unexpired statuses with their ages as of now. It omits sidecars that other sidecars only
// mentioned; otherwise a mention would circulate and never expire.
func (t PeerStatusTable) Report(own Peer, view *View, now time.Time) []Peer {
	out := []Peer{own}
	for _, addr := range union(view.Addrs(), t.Addrs()) {
		if addr == own.Addr {
			continue
		}
		n, known := view.nodes[addr]
		r := t.records[addr]
		p := Peer{Addr: addr, Incarnation: n.Incarnation, Version: n.Version}
		if r.status != nil && now.Sub(r.observedAt) <= PeerStatusTTL {
			status := *r.status
			status.Age = ageMilliseconds(r.observedAt, now)
			if status.Incarnation == p.Incarnation {
				status.Incarnation = 0
			}
			p.Status = &status
		}
		if known || p.Status != nil {
			out = append(out, p)
		}
	}
	return out
}

// ConfirmedAsOf returns the latest time at which a majority of all known sidecars, including own,
// had no revision above the given one in force. Sidecars confirm this if they are dead or found the
// quorum of the replicas lost. Any two majorities have a sidecar in common, so up to that time no
// newer revision was in force on a majority. ok is false if there is no such majority.
func (t PeerStatusTable) ConfirmedAsOf(own string, revision uint64, known []string, now time.Time) (asOf time.Time, ok bool) {
	all := union(known, t.Addrs())
	all = slices.DeleteFunc(all, func(a string) bool { return a == own })
	agreed := []time.Time{now}
	for _, addr := range all {
		if r := t.records[addr]; r.isConfirming(revision) {
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
