package plan

// Change is what an operator thinks of doing, or fears.
type Change struct {
	// Desired is a candidate configuration; nil leaves it as it is.
	Desired  []byte
	Empty    []string
	TakeBack []string
	// Lose lists wire addresses of nodes and cores, Gain those of new nodes.
	Lose []string
	Gain []string
}
