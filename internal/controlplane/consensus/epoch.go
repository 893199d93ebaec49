package consensus

// stride is how far a slot's epochs lie apart where slots come and go; MostSlots
// bounds slot numbers, of which each disk gets a new one. 29 bits of slots and 35 of
// rounds: a replacement every ten seconds, or ten epochs a second, for decades. It is
// a multiple of the stride of earlier versions, 1 << 16, so the epochs of slots below
// that stay apart from those which such a version takes.
const (
	stride    = 1 << 29
	MostSlots = stride - 1
)

// epochAfter is the next epoch of a slot after all known ones. No two slots ever
// get the same: a system of static slots counts by their number, as older versions
// do, and any other one by the stride. (DESIGN 6.5)
func epochAfter(known uint64, slot, founded int) uint64 {
	n := uint64(stride)
	if founded > 0 {
		n = uint64(founded)
	}
	return (known/n+1)*n + uint64(slot)
}
