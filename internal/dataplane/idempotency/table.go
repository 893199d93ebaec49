package idempotency

import "time"

const (
	// Retention is how long a claim is kept for repeats after its end.
	Retention = 2 * time.Minute // (ours)
	// maxReservations bounds the claims at a time.
	maxReservations = 65536 // (ours)
	// maxResponseBytes bounds the bytes of all responses kept at a time.
	maxResponseBytes = 64 << 20 // (ours)
)

// Key identifies a claim: the calling service, and the text of its Idempotency-Key.
type Key struct {
	Caller string `msgpack:"Caller"`
	Text   string `msgpack:"Text"`
}

// Fingerprint is the fingerprint of a request: a digest that a repeat must share.
type Fingerprint [32]byte

// Table is the claims of one sidecar, for use by one goroutine. No claim is
// forgotten before its time: when the table is full, a new claim is refused, and
// when responses take too many bytes, the oldest is dropped and its repeats told so.
type Table[T any] struct {
	responseSize func(T) int
	reservations map[Key]*entry[T]
	// completed are the claims that have ended, the oldest first.
	completed []Key
	// evicted is how many of the finished, from the oldest on, have no response any more.
	evicted int
	// responseBytes is the size of all responses that are kept.
	responseBytes int
}

type entry[T any] struct {
	fingerprint Fingerprint
	completed   bool
	// evicted tells that the response is kept no longer.
	evicted bool
	// completedAt is when the first request ended.
	completedAt time.Duration
	response    T
	// waiters are the repeats that came while the first request ran.
	waiters []func(Result[T])
}

// NewTable makes a table; size is the number of bytes that a response takes up.
func NewTable[T any](size func(T) int) *Table[T] {
	return &Table[T]{responseSize: size, reservations: map[Key]*entry[T]{}}
}

// Reserve claims a key; reply is called once there is a verdict: at once, or when the
// first request of the key ends.
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

// expire forgets the claims that have been kept for long enough.
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

// evictOldest drops the oldest response that is still kept.
func (t *Table[T]) evictOldest() {
	reservation := t.reservations[t.completed[t.evicted]]
	t.responseBytes -= t.responseSize(reservation.response)
	var none T
	reservation.response = none
	reservation.evicted = true
	t.evicted++
}

// Complete ends a first claim. keep is false when the request surely did not run:
// then a repeat may run.
func (t *Table[T]) Complete(key Key, response T, keep bool, now time.Duration) {
	reservation := t.reservations[key]
	for _, deliver := range reservation.waiters {
		deliver(Result[T]{Decision: Replay, Response: response, Retry: !keep})
	}
	reservation.waiters = nil
	if !keep {
		delete(t.reservations, key)
		return
	}
	t.storeResponse(key, response, now)
}

// Restore puts in a claim of an earlier incarnation of this node; one that is
// there already stays.
func (t *Table[T]) Restore(key Key, fingerprint Fingerprint, response T, now time.Duration) {
	if _, ok := t.reservations[key]; !ok {
		t.reservations[key] = &entry[T]{fingerprint: fingerprint}
		t.storeResponse(key, response, now)
	}
}

// storeResponse keeps the response of a claim, and drops the oldest ones to make room.
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
