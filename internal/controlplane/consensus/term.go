package consensus

const (
	// termStride is how far the terms of a member lie apart where members come and go: 29 bits
	// for member IDs and 35 for terms last for decades with a replacement every ten seconds, or
	// ten terms a second. It is a multiple of the stride of earlier versions, 1 << 16, so that
	// the terms of members with an ID below that differ from those of such a version.
	termStride = 1 << 29
	// maxMemberID bounds member IDs, of which each disk gets a new one.
	maxMemberID = termStride - 1
)

// nextTerm is the next term of a member after the highest known one. No two members ever get
// the same: static members count by their number, as earlier versions do, all others by the
// stride. (DESIGN 6.5)
func nextTerm(highest uint64, memberID, staticSize int) uint64 {
	stride := uint64(termStride)
	if staticSize > 0 {
		stride = uint64(staticSize)
	}
	return (highest/stride+1)*stride + uint64(memberID)
}
