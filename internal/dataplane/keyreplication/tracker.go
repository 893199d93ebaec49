package keyreplication

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
)

// ReplicationTracker is a decision value: which of an owner's claims are held by whom, and
// what must be entrusted anew because a holder has gone. (DESIGN 10.4)
type ReplicationTracker struct {
	ownAddr, zone string
	records       map[idempotency.Key]*trackedRecord
	responseBytes int // of responses
}

type trackedRecord struct {
	Record
	replicas  map[string]uint64 // boots of the holders, by address
	expiresAt time.Duration
}

// MissingReplica is a claim that another node must take now.
type MissingReplica struct {
	Record
	Target membership.Node
}

// NewReplicationTracker makes the trusts of an owner.
func NewReplicationTracker(ownAddr, zone string) *ReplicationTracker {
	return &ReplicationTracker{ownAddr: ownAddr, zone: zone, records: map[idempotency.Key]*trackedRecord{}}
}

// AddReplica takes that a node holds a claim, in the state that e tells.
func (t *ReplicationTracker) AddReplica(record Record, node membership.Node, now time.Duration) {
	tracked := t.records[record.Key]
	if tracked == nil || tracked.Incarnation != record.Incarnation || tracked.Sequence != record.Sequence {
		t.removeKey(record.Key)
		tracked = &trackedRecord{replicas: map[string]uint64{}}
		t.records[record.Key] = tracked
	}
	if tracked.Response == nil {
		t.update(tracked, record, now)
	}
	tracked.replicas[node.Addr] = node.Incarnation
}

// Complete takes what was answered under a claim.
func (t *ReplicationTracker) Complete(record Record, now time.Duration) {
	if tracked := t.records[record.Key]; tracked != nil && tracked.Incarnation == record.Incarnation && tracked.Sequence == record.Sequence {
		t.update(tracked, record, now)
	}
}

// update keeps what became of a claim. Beyond the bound its response is let go: that it
// was claimed is worth more than what was answered.
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

// Remove gives a claim up.
func (t *ReplicationTracker) Remove(record Record) {
	if tracked := t.records[record.Key]; tracked != nil && tracked.Incarnation == record.Incarnation && tracked.Sequence == record.Sequence {
		t.removeKey(record.Key)
	}
}

// MissingReplicas lists up to most claims that too few of the nodes in view hold, and who
// should take each. A holder in another boot has lost what it held.
func (t *ReplicationTracker) MissingReplicas(nodes []membership.Node, limit int, now time.Duration) (missing []MissingReplica) {
	incarnations := map[string]uint64{}
	for _, n := range nodes {
		incarnations[n.Addr] = n.Incarnation
	}
	for key, tracked := range t.records {
		if now >= tracked.expiresAt {
			t.removeKey(key)
			continue
		}
		holds := func(addr string) bool {
			incarnation, ok := tracked.replicas[addr]
			return ok && incarnations[addr] == incarnation
		}
		count := 0
		for addr := range tracked.replicas {
			if holds(addr) {
				count++
			}
		}
		want := min(ReplicationFactor, len(nodes))
		if count >= want || len(missing) >= limit {
			continue
		}
		for _, n := range RankReplicas(t.ownAddr, t.zone, key, nodes) {
			if holds(n.Addr) {
				continue
			}
			record := tracked.Record
			record.TTL = tracked.expiresAt - now
			missing = append(missing, MissingReplica{Record: record, Target: n})
			if count++; count == want {
				break
			}
		}
	}
	return missing
}
