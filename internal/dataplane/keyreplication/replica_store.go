package keyreplication

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
)

const (
	// maxRecords is the maximum number of records in a ReplicaStore.
	maxRecords = 131072
	// maxResponseBytes is the maximum total size of the responses in a ReplicaStore or in a
	// ReplicationTracker, in bytes.
	maxResponseBytes = 64 << 20
	// maxHandoverBytes is the maximum total size of the responses in a HandoverReply, in
	// bytes. A HandoverReply must fit into one frame.
	maxHandoverBytes = 24 << 20
)

// ReplicaStore holds the records that a node stores for others. It is not safe for concurrent
// use. The caller passes in the time, which is the reading of a monotonic clock with an
// arbitrary origin.
type ReplicaStore struct {
	records map[recordKey]storedRecord
	// responseBytes is the total size of the stored responses, in bytes. completed is their
	// number.
	responseBytes int
	completed     int
}

// recordKey identifies a record. An idempotency key is unique only for one owner.
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

// Store adds a record, or adds the response to a stored record. It never replaces a record of
// an earlier incarnation of the owner, and returns that record in the reply instead. A full
// store accepts no new records.
//
// If there is no room for a response, the record is stored without it. Without the response,
// a replay learns that the outcome is unknown. Without the record, the replay would be
// executed again.
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
		return StoreReply{Accepted: true} // the stored record is at least as recent
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

// Release removes the record of a request that was certainly not executed. It does not remove
// the record of a later reservation of the same key.
func (s *ReplicaStore) Release(record Record) {
	key := recordKey{record.Owner, record.Key}
	if old, ok := s.records[key]; ok && old.sameReservation(record) {
		s.remove(key)
	}
}

// Handover returns all records of an owner's earlier incarnations. Responses beyond
// maxHandoverBytes are left out.
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

// Count returns the number of records and the number of records that have a response.
func (s *ReplicaStore) Count() (records, completed int) { return len(s.records), s.completed }

func (s *ReplicaStore) removeExpired(now time.Duration) {
	for key, stored := range s.records {
		if now >= stored.expiresAt {
			s.remove(key)
		}
	}
}

// remove removes a record if it exists.
func (s *ReplicaStore) remove(key recordKey) {
	if response := s.records[key].Response; response != nil {
		s.responseBytes -= len(response)
		s.completed--
	}
	delete(s.records, key)
}
