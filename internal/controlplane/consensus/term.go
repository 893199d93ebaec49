package consensus

// termStride is how far a slot's epochs lie apart where slots come and go; MaxMemberID
// bounds slot numbers, of which each disk gets a new one. 29 bits of slots and 35 of
// rounds: a replacement every ten seconds, or ten epochs a second, for decades. It is
// a multiple of the stride of earlier versions, 1 << 16, so the epochs of slots below
// that stay apart from those which such a version takes.
const (
	termStride  = 1 << 29
	MaxMemberID = termStride - 1
)

// nextTerm is the next epoch of a slot after all known ones. No two slots ever
// get the same: a system of static slots counts by their number, as older versions
// do, and any other one by the stride. (DESIGN 6.5)
func nextTerm(highest uint64, memberID, staticSize int) uint64 {
	stride := uint64(termStride)
	if staticSize > 0 {
		stride = uint64(staticSize)
	}
	return (highest/stride+1)*stride + uint64(memberID)
}
