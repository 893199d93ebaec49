package controlplane

// Generation is a configuration with the operator's own number.
type Generation struct {
	// Number is from 1 up; a generation that is no higher than one that was taken is
	// acknowledged and changes nothing, unless another was taken under its number: then
	// it is refused for good. Zero: the operator does not number them.
	Number  uint64
	Desired []byte
	// Sent is what the operator sent, if Desired is another form of it.
	Sent []byte
	// IfMatch, if set, is the stamp that the newest configuration must have.
	IfMatch *uint64
}
