package plan

// Change is what an operator thinks of doing, or fears.
type Change struct {
	// Configuration is a candidate configuration; nil leaves it as it is.
	Configuration []byte
	Evacuate      []string
	Restore       []string
	// Remove lists wire addresses of nodes and cores, Gain those of new nodes.
	Remove []string
	Add    []string
}
