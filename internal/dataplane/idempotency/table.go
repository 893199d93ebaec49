package idempotency

import "time"

const (
	// HeldFor is how long a claim is kept for repeats after its end.
	HeldFor = 2 * time.Minute // (ours)
	// maxClaims bounds the claims at a time.
	maxClaims = 65536 // (ours)
	// maxBytes bounds the bytes of all responses kept at a time.
	maxBytes = 64 << 20 // (ours)
)

// Key identifies a claim: the calling service, and the text of its Idempotency-Key.
type Key struct {
	Caller string `msgpack:"Caller"`
	Text   string `msgpack:"Text"`
}

// Print is the fingerprint of a request: a digest that a repeat must share.
type Print [32]byte

// Table is the claims of one sidecar, for use by one goroutine. No claim is
// forgotten before its time: when the table is full, a new claim is refused, and
// when responses take too many bytes, the oldest is dropped and its repeats told so.
type Table[T any] struct {
	size   func(T) int
	claims map[Key]*held[T]
	// finished are the claims that have ended, the oldest first.
	finished []Key
	// dropped is how many of the finished, from the oldest on, have no response any more.
	dropped int
	// bytes is the size of all responses that are kept.
	bytes int
}

type held[T any] struct {
	fingerprint Print
	done        bool
	// dropped tells that the response is kept no longer.
	dropped bool
	// endedAt is when the first request ended.
	endedAt  time.Duration
	response T
	// waiting are the repeats that came while the first request ran.
	waiting []func(Answer[T])
}

// NewTable makes a table; size is the number of bytes that a response takes up.
func NewTable[T any](size func(T) int) *Table[T] {
	return &Table[T]{size: size, claims: map[Key]*held[T]{}}
}

// Lay claims a key; reply is called once there is a verdict: at once, or when the
// first request of the key ends.
func (t *Table[T]) Lay(key Key, fingerprint Print, now time.Duration, reply func(Answer[T])) {
	t.expire(now)
	claim, ok := t.claims[key]
	switch {
	case !ok && len(t.claims) >= maxClaims:
		reply(Answer[T]{Verdict: Crowded})
	case !ok:
		t.claims[key] = &held[T]{fingerprint: fingerprint}
		reply(Answer[T]{Verdict: First})
	case claim.fingerprint != fingerprint:
		reply(Answer[T]{Verdict: Clash})
	case claim.dropped:
		reply(Answer[T]{Verdict: Gone})
	case claim.done:
		reply(Answer[T]{Verdict: Repeat, Response: claim.response})
	default:
		claim.waiting = append(claim.waiting, reply)
	}
}

// expire forgets the claims that have been kept for long enough.
func (t *Table[T]) expire(now time.Duration) {
	for len(t.finished) > 0 {
		oldest := t.finished[0]
		if now-t.claims[oldest].endedAt <= HeldFor {
			return
		}
		if t.dropped == 0 {
			t.dropOldest()
		}
		t.dropped--
		delete(t.claims, oldest)
		t.finished = t.finished[1:]
	}
}

// dropOldest drops the oldest response that is still kept.
func (t *Table[T]) dropOldest() {
	claim := t.claims[t.finished[t.dropped]]
	t.bytes -= t.size(claim.response)
	var none T
	claim.response = none
	claim.dropped = true
	t.dropped++
}

// Finish ends a first claim. keep is false when the request surely did not run:
// then a repeat may run.
func (t *Table[T]) Finish(key Key, response T, keep bool, now time.Duration) {
	claim := t.claims[key]
	for _, reply := range claim.waiting {
		reply(Answer[T]{Verdict: Repeat, Response: response, Again: !keep})
	}
	claim.waiting = nil
	if !keep {
		delete(t.claims, key)
		return
	}
	t.end(key, response, now)
}

// Restore puts in a claim of an earlier incarnation of this node; one that is
// there already stays.
func (t *Table[T]) Restore(key Key, fingerprint Print, response T, now time.Duration) {
	if _, ok := t.claims[key]; !ok {
		t.claims[key] = &held[T]{fingerprint: fingerprint}
		t.end(key, response, now)
	}
}

// end keeps the response of a claim, and drops the oldest ones to make room.
func (t *Table[T]) end(key Key, response T, now time.Duration) {
	claim := t.claims[key]
	claim.done = true
	claim.endedAt = now
	claim.response = response
	t.finished = append(t.finished, key)
	t.bytes += t.size(response)
	for t.bytes > maxBytes {
		t.dropOldest()
	}
}
