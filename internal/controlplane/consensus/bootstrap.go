package consensus

import "slices"

// Bootstrap is what the settings say of a core's seat. It matters only while its disk
// is empty. (DESIGN 6.5)
type Bootstrap struct {
	// MemberID and Slots are a static seat; zero for none.
	MemberID, StaticSize int
	// NewCluster says that the whole system starts on empty disks for the first time,
	// with Founders; Addr is this core's own address.
	NewCluster     bool
	InitialMembers []string
	AdvertiseAddr  string
}

// InitialState is the first state of an acceptor on an empty disk with an identity.
func (bootstrap Bootstrap) InitialState(id uint64) Acceptor {
	acceptor := Acceptor{Self: Sender{MemberID: bootstrap.MemberID, DiskID: id}, Phase: PhaseEmpty, StaticSize: bootstrap.StaticSize, Members: map[int]MemberRecord{}, PromiseDirty: true}
	if bootstrap.MemberID != 0 {
		return acceptor
	}
	acceptor.Phase, acceptor.StaticSize = PhaseJoining, 0 // never a birth: it asks for a seat
	if i := slices.Index(bootstrap.InitialMembers, bootstrap.AdvertiseAddr); bootstrap.NewCluster && i >= 0 {
		return acceptor.AsInitialMember(i+1, bootstrap.InitialMembers)
	}
	return acceptor
}
