package consensus

import "curlewwalk/internal/config"

// Outcome is what the proposer wants done.
type Outcome struct {
	// Ballot goes to every member in To.
	Ballot *Ballot
	To     []config.Member
	Answer *Answer
}
