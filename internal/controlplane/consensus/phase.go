package consensus

// Phase is how far an acceptor's disk has come.
type Phase string

// A virgin disk never held anything; a lost one is known to have held more
// than can be read; an established one votes.
const (
	PhaseEmpty       Phase = "virgin"
	PhaseLost        Phase = "lost"
	PhaseEstablished Phase = "established"
	// A seeking one has no seat that it knows of. It votes all the same, since its
	// disk never lost anything; only sets that name it count that.
	PhaseJoining Phase = "seeking"
)
