package keyreplication

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
)

// ReplicationTracker tracks which peers store an owner's records. It finds the records that
// need another replica because a peer has left or restarted. It is not safe for concurrent
// use. The caller passes in the time, which is the reading of a monotonic clock with an
// arbitrary origin. (DESIGN 10.4)
type ReplicationTracker struct {
	ownAddr, zone string
	records       map[idempotency.Key]*trackedRecord
	// responseBytes is the total size of the responses in records, in bytes.
	responseBytes int
}

// trackedRecord is a record and its replicas.
type trackedRecord struct {
	Record
	// replicas maps the address of each peer that stores the record to the peer's
	// incarnation. A peer that has restarted with another incarnation has lost the record.
	replicas  map[string]uint64
	expiresAt time.Duration
}

// MissingReplica is a record that is to be stored on Target to replace a lost replica.
type MissingReplica struct {
	Record
	Target membership.Node
}

// NewReplicationTracker returns an empty tracker for the records of the sidecar at ownAddr.
func NewReplicationTracker(ownAddr, zone string) *ReplicationTracker {
	return &ReplicationTracker{ownAddr: ownAddr, zone: zone, records: map[idempotency.Key]*trackedRecord{}}
}

// AddReplica records that a peer stores a record. If the record is not tracked yet, it is
// added and replaces any other reservation of its key.
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

// Remove stops tracking a record whose reservation was released.
func (t *ReplicationTracker) Remove(record Record) {
	if tracked := t.records[record.Key]; tracked != nil && tracked.sameReservation(record) {
		t.removeKey(record.Key)
	}
}

// MissingReplicas returns the replicas that must be added so that each record has
// ReplicationFactor replicas on the given peers, or one on each peer if there are fewer. Once
// it has found limit replicas, it adds none for further records. It removes expired records.
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

// newReplicas selects up to n peers for additional replicas of a record.
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

// countReplicas returns the number of replicas on peers that still have the given
// incarnations.
func (r *trackedRecord) countReplicas(incarnations map[string]uint64) (count int) {
	for addr := range r.replicas {
		if r.storedOn(addr, incarnations) {
			count++
		}
	}
	return count
}

// storedOn reports whether the peer at addr still stores the record. incarnations maps the
// addresses of the peers to their current incarnations.
func (r *trackedRecord) storedOn(addr string, incarnations map[string]uint64) bool {
	incarnation, ok := r.replicas[addr]
	return ok && incarnations[addr] == incarnation
}

// update replaces the state of a record. If there is no room for the response, the record is
// kept without it, because a replay must not be executed even if it cannot be answered.
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
