package proxy

import "time"

// Limits of the outbound side.
const (
	// maxKeyLength is the maximum length of an Idempotency-Key, in bytes.
	maxKeyLength = 255
	// bodyReadTimeout is how long a client may take to send a body, after its head.
	bodyReadTimeout = time.Minute
	// cancelTimeout is how long the outbound side waits for the reply to a cancellation.
	cancelTimeout = 300 * time.Millisecond
	// shutdownCancelTimeout replaces cancelTimeout at the end of a shutdown, when little time is
	// left (answerReserve in package dataplane).
	shutdownCancelTimeout = 100 * time.Millisecond
	// responseMargin is how much earlier than the request's deadline an attempt ends, so that its
	// reply still arrives in time.
	responseMargin = 20 * time.Millisecond
	// typicalRequestSize is the approximate size of a request and its response together, in bytes.
	// A body of this size doubles the cost of sending a request to another zone.
	typicalRequestSize = 8 << 10
)

// Limits of the inbound side.
const (
	// maxIdleTime is how long an idle connection to a backend is kept, unless the backend's
	// Keep-Alive header requires less.
	maxIdleTime = 4 * time.Second
	// maxIdleNonIdempotent is how long a connection may have been idle to be used for a
	// non-idempotent attempt. The backend may close the connection, or have lost it, while the
	// attempt is written. It is then unknown whether the attempt has run, and the request is not
	// retried.
	maxIdleNonIdempotent = time.Second
	// forceNewConnection, used as the maximum idle time, forces a new connection.
	forceNewConnection = 0
	// sweepInterval is the interval between checks of the idle connections.
	sweepInterval = 250 * time.Millisecond
	// dialTimeout is the timeout for opening a connection to a backend.
	dialTimeout = 250 * time.Millisecond
	// declinedBodyTimeout is how long the inbound side waits for the rest of a response that
	// declines the attempt. After that, it closes the connection.
	declinedBodyTimeout = 20 * time.Millisecond
	// inlineWriteLimit is the size in bytes of the largest body that is written before the response
	// is read. headBufferSize is the size in bytes that the write buffer has for the head of a
	// request, in addition to the space for a body of up to inlineWriteLimit.
	inlineWriteLimit = 16 << 10
	headBufferSize   = 2 << 10
	// maxInitialBuffer is the maximum initial size in bytes of the buffer for a response body.
	maxInitialBuffer = 1 << 20
	// maxInformational is the maximum number of informational (1xx) responses before the final one.
	maxInformational = 5
	// maxMismatched is the maximum number of responses to other requests that are skipped before the
	// attempt's own.
	maxMismatched = 2
	// maxHeadSize is the maximum size of the head of a response, in bytes.
	maxHeadSize = 1 << 20
)
