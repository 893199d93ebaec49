package keyreplication

import (
	"time"

	"curlewwalk/internal/dataplane/idempotency"
)

const (
	maxRecords       = 131072   // entries held at a time (ours)
	maxResponseBytes = 64 << 20 // bytes of responses held at a time (ours)
	maxHandoverBytes = 24 << 20 // and handed over in one answer, which is one frame (ours)
)

// ReplicaStore is a decision value: the claims that a node holds for others.
type ReplicaStore struct {
	records       map[recordKey]storedRecord
	responseBytes int
	completed     int
}

type recordKey struct {
	owner string
	key   idempotency.Key
}

type storedRecord struct {
	Record
	expiresAt time.Duration
}

// NewReplicaStore makes empty holdings.
func NewReplicaStore() *ReplicaStore { return &ReplicaStore{records: map[recordKey]storedRecord{}} }

// Store holds a claim, or what has become of it. A claim of an earlier boot is
// never overwritten by a new one: it is told instead.
func (s *ReplicaStore) Store(record Record, now time.Duration) StoreReply {
	if len(s.records) >= maxRecords || s.responseBytes+len(record.Response) > maxResponseBytes {
		for key, k := range s.records {
			if now >= k.expiresAt {
				s.remove(key)
			}
		}
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
		return StoreReply{Accepted: true} // overtaken on the way
	case !ok && len(s.records) >= maxRecords:
		return StoreReply{}
	case s.responseBytes+len(record.Response) > maxResponseBytes:
		record.Response = nil // that it was claimed is worth more than what was answered
	}
	s.remove(key)
	s.records[key] = storedRecord{Record: record, expiresAt: now + record.TTL}
	s.responseBytes += len(record.Response)
	if record.Response != nil {
		s.completed++
	}
	return StoreReply{Accepted: true}
}

// Release gives up a claim whose request surely did not run; not a later one.
func (s *ReplicaStore) Release(record Record) {
	key := recordKey{record.Owner, record.Key}
	if old, ok := s.records[key]; ok && old.Incarnation == record.Incarnation && old.Sequence == record.Sequence {
		s.remove(key)
	}
}

// Handover lists what earlier boots of a node laid claim to: all of it, with as many
// of the responses as one answer bears.
func (s *ReplicaStore) Handover(request HandoverRequest, now time.Duration) (reply HandoverReply) {
	bytes := 0
	for _, stored := range s.records {
		if stored.Owner == request.Owner && stored.Incarnation != request.Incarnation && now < stored.expiresAt {
			record := stored.Record
			if bytes += len(record.Response); bytes > maxHandoverBytes {
				record.Response = nil
			}
			reply.Records = append(reply.Records, record)
		}
	}
	return reply
}

// Count is how many claims are held, and how many of them with a response.
func (s *ReplicaStore) Count() (records, completed int) { return len(s.records), s.completed }

func (s *ReplicaStore) remove(key recordKey) {
	if r := s.records[key].Response; r != nil {
		s.responseBytes -= len(r)
		s.completed--
	}
	delete(s.records, key)
}
