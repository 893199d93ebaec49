package proxy

import "time"

const (
	// longestKey bounds an Idempotency-Key.
	longestKey = 255 // (ours)
	// bodyFor is how long a client may take to send a body.
	bodyFor = time.Minute // (ours)
	// recallFor is how long an attempt's fate is asked for after it was lost.
	recallFor = 300 * time.Millisecond // (ours)
	// stopRecallFor is that at the end of a stop, when little time is left.
	stopRecallFor = 100 * time.Millisecond // (ours)
	// grace is what the far side gets back from to answer before the near side
	// stops listening.
	grace = 20 * time.Millisecond // (ours)
	// usual is about how much a request carries with its answer.
	usual = 8 << 10 // (ours)
	// keepFor is how long a connection to a backend may be idle.
	keepFor = 4 * time.Second // (ours)
	// freshOnly is how long it may have been idle for an attempt that must not run twice:
	// the backend may close it, or may have forgotten it, just as the attempt is written.
	freshOnly = time.Second // (ours)
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = 250 * time.Millisecond // (ours)
	// dialFor bounds the opening of a connection to a backend.
	dialFor = 250 * time.Millisecond // (ours)
	// restFor is how long the rest of an answer that declines is waited for.
	restFor = 20 * time.Millisecond // (ours)
	// straight is the largest body that is written before the answer is looked for,
	// and roomForHead what is kept for the head before it.
	straight    = 16 << 10 // (ours)
	roomForHead = 2 << 10  // (ours)
	// mostEarly bounds the 1xx answers before one that counts, mostStrays the answers to
	// other requests.
	mostEarly  = 5 // (ours)
	mostStrays = 2 // (ours)
)
