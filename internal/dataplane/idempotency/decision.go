package idempotency

// Decision is what a claim came to.
type Decision int

// Proceed: run it, then call Finish. Repeat: the response is the first one's. Gone:
// the first one ended, and its response is kept no longer. Clash: the same key was
// used for another request. Crowded: no room to claim.
const (
	Proceed Decision = iota
	Replay
	ResponseEvicted
	KeyReused
	TableFull
)

// Result is a verdict with the response, if there is one. Again says that the
// first gave its claim up while this one waited: lay it anew.
type Result[T any] struct {
	Decision Decision
	Response T
	Retry    bool
}
