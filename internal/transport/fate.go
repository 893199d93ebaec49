package transport

// Fate is what is known of a call.
type Fate int

// A call was answered; or surely never reached the far node whole; or nobody
// knows.
const (
	Lost Fate = iota
	Unsent
	Answered
)
