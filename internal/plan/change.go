package plan

// Change is what an operator considers doing, or fears.
type Change struct {
	// Configuration is a candidate configuration, a JSON document; nil leaves it as it is.
	Configuration []byte
	// Evacuate and Restore name zones; one that is in both is restored.
	Evacuate []string
	Restore  []string
	// Remove has the transport addresses of sidecars and control plane nodes that are lost, Add
	// those of new sidecars.
	Remove []string
	Add    []string
}
