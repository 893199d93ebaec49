package idempotency

import "time"

const (
	// Retention is how long a reservation is kept for replays after its request has
	// completed.
	Retention = 2 * time.Minute
	// maxReservations is the maximum number of reservations in a table.
	maxReservations = 65536
	// maxResponseBytes is the maximum total size of the stored responses, in bytes.
	maxResponseBytes = 64 << 20
)

// Key identifies a reservation.
type Key struct {
	// Caller is the service that sends the request.
	Caller string `msgpack:"Caller"`
	// Text is the value of the request's Idempotency-Key header.
	Text string `msgpack:"Text"`
}

// Fingerprint is a digest of a request's method, host, target and body. It distinguishes a
// replay from a different request that uses the same key.
type Fingerprint [32]byte

// Table holds the reservations of one sidecar. It is not safe for concurrent use. The caller
// passes in the time, which is the reading of a monotonic clock with an arbitrary origin.
//
// Unless it is released, a reservation is never removed before its retention has passed. The
// next Reserve of any key then removes it. A full table refuses new reservations. If the
// stored responses exceed maxResponseBytes, the oldest responses are evicted but their
// reservations are kept; replays then get ResponseEvicted. T is the type of a response.
type Table[T any] struct {
	responseSize func(T) int
	reservations map[Key]*entry[T]
	// completed holds the keys of the completed reservations, oldest first.
	completed []Key
	// evicted is the number of keys at the start of completed whose responses have been
	// evicted.
	evicted int
	// responseBytes is the total size of the stored responses, in bytes.
	responseBytes int
}

// entry is the state of one reservation.
type entry[T any] struct {
	fingerprint Fingerprint
	completed   bool
	// evicted reports whether the response is no longer stored.
	evicted     bool
	completedAt time.Duration
	response    T
	// waiters are called with the result of the first request. There is one for each replay
	// that arrived before the first request ended.
	waiters []func(Result[T])
}

// NewTable returns an empty table. responseSize returns the size of a response in bytes.
func NewTable[T any](responseSize func(T) int) *Table[T] {
	return &Table[T]{responseSize: responseSize, reservations: map[Key]*entry[T]{}}
}

// Reserve attempts to reserve a key. It calls deliver exactly once with the result:
// immediately, or when the first request with the key is completed or released.
func (t *Table[T]) Reserve(key Key, fingerprint Fingerprint, now time.Duration, deliver func(Result[T])) {
	t.expire(now)
	reservation, ok := t.reservations[key]
	switch {
	case !ok && len(t.reservations) >= maxReservations:
		deliver(Result[T]{Decision: TableFull})
	case !ok:
		t.reservations[key] = &entry[T]{fingerprint: fingerprint}
		deliver(Result[T]{Decision: Proceed})
	case reservation.fingerprint != fingerprint:
		deliver(Result[T]{Decision: KeyReused})
	case reservation.evicted:
		deliver(Result[T]{Decision: ResponseEvicted})
	case reservation.completed:
		deliver(Result[T]{Decision: Replay, Response: reservation.response})
	default:
		reservation.waiters = append(reservation.waiters, deliver)
	}
}

// expire removes the reservations whose retention has passed.
func (t *Table[T]) expire(now time.Duration) {
	for len(t.completed) > 0 {
		oldest := t.completed[0]
		if now-t.reservations[oldest].completedAt <= Retention {
			return
		}
		if t.evicted == 0 {
			t.evictOldest()
		}
		t.evicted--
		delete(t.reservations, oldest)
		t.completed = t.completed[1:]
	}
}

// evictOldest evicts the oldest stored response and keeps its reservation.
func (t *Table[T]) evictOldest() {
	reservation := t.reservations[t.completed[t.evicted]]
	t.responseBytes -= t.responseSize(reservation.response)
	var none T
	reservation.response = none
	reservation.evicted = true
	t.evicted++
}

// Complete ends the execution of a request whose decision was Proceed. It stores the response
// and delivers it to the replays that are waiting for it.
func (t *Table[T]) Complete(key Key, response T, now time.Duration) {
	t.reservations[key].deliver(Result[T]{Decision: Replay, Response: response})
	t.storeResponse(key, response, now)
}

// Release ends the reservation of a request whose decision was Proceed, but which was
// certainly not executed. A replay may then be executed. Replays that are waiting must
// reserve the key again.
func (t *Table[T]) Release(key Key) {
	t.reservations[key].deliver(Result[T]{Decision: Replay, Retry: true})
	delete(t.reservations, key)
}

// deliver delivers a result to all waiting replays.
func (e *entry[T]) deliver(result Result[T]) {
	for _, deliver := range e.waiters {
		deliver(result)
	}
	e.waiters = nil
}

// Restore adds a completed reservation that an earlier incarnation of this node made, unless
// the key is already reserved.
func (t *Table[T]) Restore(key Key, fingerprint Fingerprint, response T, now time.Duration) {
	if _, ok := t.reservations[key]; !ok {
		t.reservations[key] = &entry[T]{fingerprint: fingerprint}
		t.storeResponse(key, response, now)
	}
}

// storeResponse marks a reservation as completed and stores its response. It then evicts the
// oldest responses until the stored responses are within maxResponseBytes.
func (t *Table[T]) storeResponse(key Key, response T, now time.Duration) {
	reservation := t.reservations[key]
	reservation.completed = true
	reservation.completedAt = now
	reservation.response = response
	t.completed = append(t.completed, key)
	t.responseBytes += t.responseSize(response)
	for t.responseBytes > maxResponseBytes {
		t.evictOldest()
	}
}
