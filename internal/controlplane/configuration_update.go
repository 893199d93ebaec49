package controlplane

// ConfigurationUpdate is a configuration with the operator's own number.
type ConfigurationUpdate struct {
	// Generation is from 1 up; a generation that is no higher than one that was taken is
	// acknowledged and changes nothing, unless another was taken under its number: then
	// it is refused for good. Zero: the operator does not number them.
	Generation    uint64
	Configuration []byte
	// Source is what the operator sent, if Desired is another form of it.
	Source []byte
	// IfMatch, if set, is the stamp that the newest configuration must have.
	IfMatch *uint64
}
