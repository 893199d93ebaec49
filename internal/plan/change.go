package plan

// Change is a planned change or an expected failure whose impact is to be assessed.
type Change struct {
	// Configuration is the JSON document of a candidate configuration. Nil means no change.
	Configuration []byte
	// Evacuate and Restore list zones. A zone in both lists is restored.
	Evacuate []string
	Restore  []string
	// Remove lists the transport addresses of sidecars and control plane nodes that are lost. Add
	// lists the transport addresses of new sidecars.
	Remove []string
	Add    []string
}
