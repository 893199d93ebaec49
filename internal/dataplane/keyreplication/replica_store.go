package keyreplication

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
)

const (
	// maxRecords bounds the records of a ReplicaStore.
	maxRecords = 131072
	// maxResponseBytes bounds the total size of the responses in a ReplicaStore or a
	// ReplicationTracker.
	maxResponseBytes = 64 << 20
	// maxHandoverBytes bounds the total size of the responses in a HandoverReply, which
	// has to fit into one frame.
	maxHandoverBytes = 24 << 20
)

// ReplicaStore holds the records that a node stores for others. It is not safe for
// concurrent use, and takes the time from its caller: a monotonic clock of any origin.
type ReplicaStore struct {
	records map[recordKey]storedRecord
	// responseBytes is the total size of the responses, completed their number.
	responseBytes int
	completed     int
}

// recordKey identifies a record: keys are unique for each owner.
type recordKey struct {
	owner string
	key   idempotency.Key
}

type storedRecord struct {
	Record
	expiresAt time.Duration
}

// NewReplicaStore returns an empty store.
func NewReplicaStore() *ReplicaStore { return &ReplicaStore{records: map[recordKey]storedRecord{}} }

// Store adds a record, or the response to one that is stored. The record of an earlier
// incarnation of the owner is never replaced: the reply returns it. A full store accepts
// no new record, and drops a response that it has no room for rather than the record:
// without the response a replay learns that the outcome is unknown, without the record it
// would be executed again.
func (s *ReplicaStore) Store(record Record, now time.Duration) StoreReply {
	if len(s.records) >= maxRecords || s.responseBytes+len(record.Response) > maxResponseBytes {
		s.removeExpired(now)
	}
	key := recordKey{record.Owner, record.Key}
	old, ok := s.records[key]
	if ok && now >= old.expiresAt {
		s.remove(key)
		ok = false
	}
	switch {
	case ok && old.Incarnation != record.Incarnation:
		return StoreReply{Existing: &old.Record}
	case ok && old.Sequence > record.Sequence, ok && old.Sequence == record.Sequence && record.Response == nil:
		return StoreReply{Accepted: true} // superseded on its way
	case !ok && len(s.records) >= maxRecords:
		return StoreReply{}
	case s.responseBytes+len(record.Response) > maxResponseBytes:
		record.Response = nil
	}
	s.remove(key)
	s.records[key] = storedRecord{Record: record, expiresAt: now + record.TTL}
	s.responseBytes += len(record.Response)
	if record.Response != nil {
		s.completed++
	}
	return StoreReply{Accepted: true}
}

// Release removes a record whose request was certainly not executed. The record of a later
// reservation of the same key stays.
func (s *ReplicaStore) Release(record Record) {
	key := recordKey{record.Owner, record.Key}
	if old, ok := s.records[key]; ok && old.sameReservation(record) {
		s.remove(key)
	}
}

// Handover returns all records of an owner's earlier incarnations, with as many of their
// responses as fit into one reply.
func (s *ReplicaStore) Handover(request HandoverRequest, now time.Duration) (reply HandoverReply) {
	responseBytes := 0
	for _, stored := range s.records {
		if stored.Owner == request.Owner && stored.Incarnation != request.Incarnation && now < stored.expiresAt {
			record := stored.Record
			if responseBytes += len(record.Response); responseBytes > maxHandoverBytes {
				record.Response = nil
			}
			reply.Records = append(reply.Records, record)
		}
	}
	return reply
}

// Count returns the number of records, and of those with a response.
func (s *ReplicaStore) Count() (records, completed int) { return len(s.records), s.completed }

func (s *ReplicaStore) removeExpired(now time.Duration) {
	for key, stored := range s.records {
		if now >= stored.expiresAt {
			s.remove(key)
		}
	}
}

// remove removes a record, if there is one.
func (s *ReplicaStore) remove(key recordKey) {
	if response := s.records[key].Response; response != nil {
		s.responseBytes -= len(response)
		s.completed--
	}
	delete(s.records, key)
}
