package consensus

// Phase is how far an acceptor's disk has come. The strings go over the wire and to disk.
type Phase string

const (
	// PhaseEmpty is a disk that never held anything.
	PhaseEmpty Phase = "virgin"
	// PhaseLost is a disk that is known to have held more than can be read.
	PhaseLost Phase = "lost"
	// PhaseEstablished is a member's disk: it votes.
	PhaseEstablished Phase = "established"
	// PhaseJoining is the disk of a replica that does not know to be a member. It votes all
	// the same, since it never lost anything; only member sets that name it count that.
	PhaseJoining Phase = "seeking"
)
