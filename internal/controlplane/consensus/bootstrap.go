package consensus

import "slices"

// Bootstrap holds the settings of a replica's membership. They are used while its disk is
// empty. Later the membership on disk takes precedence. The settings are used again, without
// NewCluster, if the files on disk cannot be read. MemberID and StaticSize are also used for a
// file of an earlier version that lacks them. (DESIGN 6.5)
type Bootstrap struct {
	// MemberID and StaticSize are the replica's member ID, from 1, and the number of static
	// members. Both are zero if the membership is dynamic.
	MemberID, StaticSize int
	// NewCluster is set if the whole cluster starts for the first time, on empty disks.
	// InitialMembers then lists the addresses of its members, and AdvertiseAddr is the address
	// of this replica.
	NewCluster     bool
	InitialMembers []string
	AdvertiseAddr  string
}

// InitialState returns the first state of an acceptor on an empty disk with a disk ID.
func (b Bootstrap) InitialState(diskID uint64) Acceptor {
	acceptor := Acceptor{
		Self: Sender{MemberID: b.MemberID, DiskID: diskID}, Phase: PhaseEmpty, StaticSize: b.StaticSize,
		MemberRecords: map[int]MemberRecord{}, PromiseDirty: true,
	}
	if b.MemberID != 0 {
		return acceptor
	}
	// With dynamic membership, the acceptor is not established locally: it requests membership.
	acceptor.Phase, acceptor.StaticSize = PhaseJoining, 0
	if i := slices.Index(b.InitialMembers, b.AdvertiseAddr); b.NewCluster && i >= 0 {
		return acceptor.asInitialMember(i+1, b.InitialMembers)
	}
	return acceptor
}
