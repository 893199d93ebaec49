package proxy

import "time"

// Limits of the outbound side.
const (
	// maxKeyLength is the greatest length of an Idempotency-Key, in bytes.
	maxKeyLength = 255 // (ours)
	// bodyReadTimeout is how long a client may take to send a body.
	bodyReadTimeout = time.Minute // (ours)
	// cancelTimeout is how long the reply to a cancellation is waited for.
	cancelTimeout = 300 * time.Millisecond // (ours)
	// shutdownCancelTimeout is the same at the end of a shutdown, when little time is left.
	shutdownCancelTimeout = 100 * time.Millisecond // (ours)
	// responseMargin is by how much earlier than the request an attempt ends, so that its reply
	// still arrives.
	responseMargin = 20 * time.Millisecond // (ours)
	// usualRequestSize is about how many bytes a request and its response have together.
	usualRequestSize = 8 << 10 // (ours)
)

// Limits of the inbound side.
const (
	// maxIdleTime is how long a connection to a backend is kept idle.
	maxIdleTime = 4 * time.Second // (ours)
	// maxIdleNonIdempotent is how long one may have been idle to be used for an attempt that is
	// not idempotent: the backend may close it, or have forgotten it, as the attempt is written.
	maxIdleNonIdempotent = time.Second // (ours)
	// newConnection as the greatest idle time asks for a new connection.
	newConnection = 0
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = 250 * time.Millisecond // (ours)
	// dialTimeout bounds the opening of a connection to a backend.
	dialTimeout = 250 * time.Millisecond // (ours)
	// declinedBodyTimeout is how long the rest of a response that declines is waited for.
	declinedBodyTimeout = 20 * time.Millisecond // (ours)
	// inlineWriteLimit is the size in bytes of the largest body that is written before the
	// response is read, and headBufferSize is the space before it for the head.
	inlineWriteLimit = 16 << 10 // (ours)
	headBufferSize   = 2 << 10  // (ours)
	// maxInitialBuffer is the greatest size in bytes of the buffer that a response's body is
	// read into at first.
	maxInitialBuffer = 1 << 20 // (ours)
	// maxInformational bounds the informational responses before the final one.
	maxInformational = 5 // (ours)
	// maxMismatched bounds the responses to other requests before the attempt's own.
	maxMismatched = 2 // (ours)
	// maxHeadSize bounds the head of a response, in bytes.
	maxHeadSize = 1 << 20 // (ours)
)
