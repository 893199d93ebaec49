package proxy

import "time"

const (
	// maxKeyLength bounds an Idempotency-Key.
	maxKeyLength = 255 // (ours)
	// bodyReadTimeout is how long a client may take to send a body.
	bodyReadTimeout = time.Minute // (ours)
	// cancelTimeout is how long an attempt's fate is asked for after it was lost.
	cancelTimeout = 300 * time.Millisecond // (ours)
	// shutdownCancelTimeout is that at the end of a stop, when little time is left.
	shutdownCancelTimeout = 100 * time.Millisecond // (ours)
	// responseMargin is what the far side gets back from to answer before the near side
	// stops listening.
	responseMargin = 20 * time.Millisecond // (ours)
	// usualRequestSize is about how much a request carries with its answer.
	usualRequestSize = 8 << 10 // (ours)
	// maxIdleTime is how long a connection to a backend may be idle.
	maxIdleTime = 4 * time.Second // (ours)
	// maxIdleNonIdempotent is how long it may have been idle for an attempt that must not run twice:
	// the backend may close it, or may have forgotten it, just as the attempt is written.
	maxIdleNonIdempotent = time.Second // (ours)
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = 250 * time.Millisecond // (ours)
	// dialTimeout bounds the opening of a connection to a backend.
	dialTimeout = 250 * time.Millisecond // (ours)
	// declinedBodyTimeout is how long the rest of an answer that declines is waited for.
	declinedBodyTimeout = 20 * time.Millisecond // (ours)
	// inlineWriteLimit is the largest body that is written before the answer is looked for,
	// and roomForHead what is kept for the head before it.
	inlineWriteLimit = 16 << 10 // (ours)
	headBufferSize   = 2 << 10  // (ours)
	// maxInformational bounds the 1xx answers before one that counts, mostStrays the answers to
	// other requests.
	maxInformational = 5 // (ours)
	maxMismatched    = 2 // (ours)
)
