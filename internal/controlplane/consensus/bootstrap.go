package consensus

import "slices"

// Bootstrap is what the settings say of a replica's membership. It matters only while its disk
// is empty. (DESIGN 6.5)
type Bootstrap struct {
	// MemberID and StaticSize are its own member ID, from 1, and the number of members where
	// these are static; zero where members come and go.
	MemberID, StaticSize int
	// NewCluster says that the whole cluster starts on empty disks for the first time, with
	// the InitialMembers, by address; AdvertiseAddr is this replica's own.
	NewCluster     bool
	InitialMembers []string
	AdvertiseAddr  string
}

// InitialState is the first state of an acceptor on an empty disk with an ID.
func (b Bootstrap) InitialState(diskID uint64) Acceptor {
	acceptor := Acceptor{
		Self: Sender{MemberID: b.MemberID, DiskID: diskID}, Phase: PhaseEmpty, StaticSize: b.StaticSize,
		MemberRecords: map[int]MemberRecord{}, PromiseDirty: true,
	}
	if b.MemberID != 0 {
		return acceptor
	}
	// It is never established by itself: it asks for membership.
	acceptor.Phase, acceptor.StaticSize = PhaseJoining, 0
	if i := slices.Index(b.InitialMembers, b.AdvertiseAddr); b.NewCluster && i >= 0 {
		return acceptor.asInitialMember(i+1, b.InitialMembers)
	}
	return acceptor
}
