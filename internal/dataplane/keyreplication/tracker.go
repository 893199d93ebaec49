package keyreplication

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
)

// ReplicationTracker knows which peers store an owner's records, and finds the records
// that need another replica because a peer has gone or restarted. It is not safe for
// concurrent use, and takes the time from its caller: a monotonic clock of any origin.
// (DESIGN 10.4)
type ReplicationTracker struct {
	ownAddr, zone string
	records       map[idempotency.Key]*trackedRecord
	// responseBytes is the total size of the responses in records.
	responseBytes int
}

// trackedRecord is a record with its replicas.
type trackedRecord struct {
	Record
	// replicas are the incarnations of the peers that store the record, by address: a
	// peer in another incarnation has lost it.
	replicas  map[string]uint64
	expiresAt time.Duration
}

// MissingReplica is a record that Target is to store in place of a lost replica.
type MissingReplica struct {
	Record
	Target membership.Node
}

// NewReplicationTracker returns an empty tracker for the records of the sidecar at ownAddr.
func NewReplicationTracker(ownAddr, zone string) *ReplicationTracker {
	return &ReplicationTracker{ownAddr: ownAddr, zone: zone, records: map[idempotency.Key]*trackedRecord{}}
}

// AddReplica notes that a peer stores a record. A record that is not tracked yet is added,
// in place of another reservation of its key.
func (t *ReplicationTracker) AddReplica(record Record, peer membership.Node, now time.Duration) {
	tracked := t.records[record.Key]
	if tracked == nil || !tracked.sameReservation(record) {
		t.removeKey(record.Key)
		tracked = &trackedRecord{replicas: map[string]uint64{}}
		t.records[record.Key] = tracked
	}
	if tracked.Response == nil {
		t.update(tracked, record, now)
	}
	tracked.replicas[peer.Addr] = peer.Incarnation
}

// Complete adds the response to a tracked record.
func (t *ReplicationTracker) Complete(record Record, now time.Duration) {
	if tracked := t.records[record.Key]; tracked != nil && tracked.sameReservation(record) {
		t.update(tracked, record, now)
	}
}

// Remove ends the tracking of a record: its reservation was released.
func (t *ReplicationTracker) Remove(record Record) {
	if tracked := t.records[record.Key]; tracked != nil && tracked.sameReservation(record) {
		t.removeKey(record.Key)
	}
}

// MissingReplicas returns the replicas that are to be added, so that each record has
// ReplicationFactor of them on the given peers, or one on each if they are fewer. Once
// there are limit of them, no further record is looked at. Expired records are removed.
func (t *ReplicationTracker) MissingReplicas(peers []membership.Node, limit int, now time.Duration) (missing []MissingReplica) {
	incarnations := map[string]uint64{}
	for _, peer := range peers {
		incarnations[peer.Addr] = peer.Incarnation
	}
	want := min(ReplicationFactor, len(peers))
	for key, tracked := range t.records {
		if now >= tracked.expiresAt {
			t.removeKey(key)
			continue
		}
		count := tracked.countReplicas(incarnations)
		if count >= want || len(missing) >= limit {
			continue
		}
		record := tracked.Record
		record.TTL = tracked.expiresAt - now
		for _, target := range t.newReplicas(tracked, peers, incarnations, want-count) {
			missing = append(missing, MissingReplica{Record: record, Target: target})
		}
	}
	return missing
}

// newReplicas chooses up to n peers for further replicas of a record.
func (t *ReplicationTracker) newReplicas(tracked *trackedRecord, peers []membership.Node, incarnations map[string]uint64, n int) (targets []membership.Node) {
	for _, peer := range RankReplicas(t.ownAddr, t.zone, tracked.Key, peers) {
		if len(targets) == n {
			break
		}
		if !tracked.storedOn(peer.Addr, incarnations) {
			targets = append(targets, peer)
		}
	}
	return targets
}

// countReplicas counts the replicas on the peers of the given incarnations.
func (r *trackedRecord) countReplicas(incarnations map[string]uint64) (count int) {
	for addr := range r.replicas {
		if r.storedOn(addr, incarnations) {
			count++
		}
	}
	return count
}

// storedOn reports whether the peer at addr still stores the record, given the current
// incarnations of the peers by address.
func (r *trackedRecord) storedOn(addr string, incarnations map[string]uint64) bool {
	incarnation, ok := r.replicas[addr]
	return ok && incarnations[addr] == incarnation
}

// update takes over the state of a record. If there is no room for its response, the record
// is kept without it: a replay must not be executed, even if it can't be answered.
func (t *ReplicationTracker) update(tracked *trackedRecord, record Record, now time.Duration) {
	if t.responseBytes+len(record.Response) > maxResponseBytes {
		record.Response = nil
	}
	t.responseBytes += len(record.Response) - len(tracked.Response)
	tracked.Record, tracked.expiresAt = record, now+record.TTL
}

func (t *ReplicationTracker) removeKey(key idempotency.Key) {
	if tracked := t.records[key]; tracked != nil {
		t.responseBytes -= len(tracked.Response)
		delete(t.records, key)
	}
}
