package consensus

import "curlewwalk/desired"

// Outcome is what the proposer wants done.
type Outcome struct {
	// Ballot goes to every member in To.
	Ballot *Ballot
	To     []desired.Member
	Answer *Answer
}
