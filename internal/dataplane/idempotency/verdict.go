package idempotency

// Verdict is what a claim came to.
type Verdict int

// First: run it, then call Finish. Repeat: the response is the first one's. Gone:
// the first one ended, and its response is kept no longer. Clash: the same key was
// used for another request. Crowded: no room to claim.
const (
	First Verdict = iota
	Repeat
	Gone
	Clash
	Crowded
)

// Answer is a verdict with the response, if there is one. Again says that the
// first gave its claim up while this one waited: lay it anew.
type Answer[T any] struct {
	Verdict  Verdict
	Response T
	Again    bool
}
