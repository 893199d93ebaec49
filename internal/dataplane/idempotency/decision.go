package idempotency

// Decision is the outcome of a request's attempt to reserve its key.
type Decision int

// Decisions.
const (
	// Proceed: the key is reserved for this request. The caller executes the request, and
	// then calls Complete or Release.
	Proceed Decision = iota
	// Replay: the request must not be executed. Its response is that of the first request.
	Replay
	// ResponseEvicted: the first request has completed, but its response is no longer stored.
	ResponseEvicted
	// KeyReused: the key is reserved by a request with a different fingerprint.
	KeyReused
	// TableFull: the table has no room for another reservation.
	TableFull
)

// Result is a decision and its associated data.
type Result[T any] struct {
	Decision Decision
	// Response is the response to the first request if Decision is Replay, and the zero value
	// otherwise.
	Response T
	// Retry reports whether the first request released its reservation while this request was
	// waiting for the response. The caller must reserve the key again, and ignore Decision.
	Retry bool
}
