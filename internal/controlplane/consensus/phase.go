package consensus

// Phase is the membership phase of an acceptor's disk. The strings are sent over the wire and
// written to disk.
type Phase string

const (
	// PhaseEmpty is the phase of a static member's disk that never held any state.
	PhaseEmpty Phase = "virgin"
	// PhaseLost is the phase of a static member's disk that is known to have held state that
	// cannot be read any more.
	PhaseLost Phase = "lost"
	// PhaseEstablished is the phase of a member's disk, which votes.
	PhaseEstablished Phase = "established"
	// PhaseJoining is the phase of a replica of dynamic membership that does not know whether
	// it is a member. It votes as well, since nothing that was saved under its disk ID has been
	// lost: a disk whose state is lost gets a new disk ID. Its vote counts only in member sets
	// that include it.
	PhaseJoining Phase = "seeking"
)
