package idempotency

// Decision says what a request that has asked for a reservation must do.
type Decision int

// The decisions.
const (
	// Proceed: the key is reserved for this request. Execute it, then call Complete or
	// Release.
	Proceed Decision = iota
	// Replay: don't execute the request; its response is the first request's.
	Replay
	// ResponseEvicted: the first request has completed, and its response is no longer
	// stored.
	ResponseEvicted
	// KeyReused: the key belongs to a request with another fingerprint.
	KeyReused
	// TableFull: there is no room for another reservation.
	TableFull
)

// Result is a decision with what belongs to it.
type Result[T any] struct {
	Decision Decision
	// Response is that of the first request, for Replay; otherwise it is the zero value.
	Response T
	// Retry says that the first request released its reservation while this one was
	// waiting for it, so that the key has to be reserved anew.
	Retry bool
}
