package consensus

import "slices"

// Start is what the settings say of a core's seat. It matters only while its disk
// is empty. (DESIGN 6.5)
type Start struct {
	// Slot and Slots are a static seat; zero for none.
	Slot, Slots int
	// First says that the whole system starts on empty disks for the first time,
	// with Founders; Addr is this core's own address.
	First    bool
	Founders []string
	Addr     string
}

// Empty is the first state of an acceptor on an empty disk with an identity.
func (s Start) Empty(id uint64) Acceptor {
	v := Acceptor{Self: From{Slot: s.Slot, ID: id}, Phase: Virgin, Founded: s.Slots, Seats: map[int]Chair{}, OathDirty: true}
	if s.Slot != 0 {
		return v
	}
	v.Phase, v.Founded = Seeking, 0 // never a birth: it asks for a seat
	if i := slices.Index(s.Founders, s.Addr); s.First && i >= 0 {
		return v.Founder(i+1, s.Founders)
	}
	return v
}
