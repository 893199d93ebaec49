package consensus

const (
	// termStride is the distance between successive terms of a member in a cluster of dynamic
	// membership. It leaves 29 bits for member IDs, which last for decades at one replacement
	// every ten seconds, and 35 bits for terms, which last for decades at ten terms per second.
	// It is a multiple of 1 << 16, the stride of earlier versions, so that the terms of members
	// with IDs below 1 << 16 differ from those of members that run such a version.
	termStride = 1 << 29
	// maxMemberID is the highest member ID. Each disk gets a new member ID.
	maxMemberID = termStride - 1
)

// nextTerm returns the next term of a member that is higher than the highest known term. Two
// members never get the same term, since a term modulo the stride determines the member ID. The
// stride is the number of static members, as in earlier versions, or termStride if the
// membership is dynamic. (DESIGN 6.5)
func nextTerm(highest uint64, memberID, staticSize int) uint64 {
	stride := uint64(termStride)
	if staticSize > 0 {
		stride = uint64(staticSize)
	}
	return (highest/stride+1)*stride + uint64(memberID)
}
