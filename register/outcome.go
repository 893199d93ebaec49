package register

// Outcome is what the clerk wants done.
type Outcome struct {
	// Ballot goes to every slot in To.
	Ballot *Ballot
	To     []int
	Answer *Answer
}
