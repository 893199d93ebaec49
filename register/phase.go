package register

// Phase is how far a voter's disk has come.
type Phase string

// A virgin disk never held anything; a lost one is known to have held more
// than can be read; an established one votes.
const (
	Virgin      Phase = "virgin"
	Lost        Phase = "lost"
	Established Phase = "established"
)
