package consensus

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"

	"curlewwalk/internal/config"
)

// Establish decides whether the acceptor of an empty disk may be established, from the
// replies that the other static members gave to a MsgRead. All must have answered, and none
// may hold a state or have lost one. Those that are established must have seen this very disk
// when they were: else it replaces another one, and has to ask for its membership by MsgJoin.
// (DESIGN 6.5)
func (a Acceptor) Establish(replies map[int]Reply) (next Acceptor, established bool) {
	if a.Phase != PhaseEmpty || len(replies) < a.StaticSize-1 {
		return a, false
	}
	members := map[int]MemberRecord{a.Self.MemberID: {Incarnation: 1, DiskID: a.Self.DiskID}}
	promised := a.Promised
	for id, reply := range replies {
		replaced := reply.Phase == PhaseEstablished && reply.MemberRecords[a.Self.MemberID] != members[a.Self.MemberID]
		if reply.Phase == PhaseLost || reply.Position != (Position{}) || replaced {
			return a, false
		}
		members[id] = MemberRecord{Incarnation: max(1, reply.Sender.Incarnation), DiskID: reply.Sender.DiskID}
		promised = max(promised, reply.Promised)
	}
	a.Phase, a.Promised, a.Self.Incarnation = PhaseEstablished, promised, 1
	a = a.recordMembers(members)
	a.PromiseDirty = true
	return a, true
}

// NextIncarnation is the sender under which the acceptor of an empty disk asks for its static
// membership: its incarnation is one more than any that the others know. It may ask once a
// majority of the established ones has answered.
func (a Acceptor) NextIncarnation(replies map[int]Reply) (self Sender, ready bool) {
	incarnation := a.Self.Incarnation
	for _, reply := range replies {
		incarnation = max(incarnation, reply.MemberRecords[a.Self.MemberID].Incarnation)
	}
	self = Sender{MemberID: a.Self.MemberID, Incarnation: incarnation + 1, DiskID: a.Self.DiskID}
	return self, len(CurrentReplies(replies)) >= Majority(a.StaticSize)
}

// CompleteJoin decides whether the acceptor of an empty disk has copied from a majority of the
// established ones, from the replies that they gave to its MsgJoin, sent as self.
// (DESIGN 6.5)
func (a Acceptor) CompleteJoin(self Sender, replies map[int]Reply) (next Acceptor, joined bool) {
	// An acceptor that was replaced itself may not know it: it does not count.
	granted := CurrentReplies(replies)
	maps.DeleteFunc(granted, func(_ int, reply Reply) bool { return !reply.Granted })
	if a.Phase == PhaseEstablished || len(granted) < Majority(a.StaticSize) {
		return a, false
	}
	a.Self = self
	for _, reply := range granted {
		a = a.recordMembers(reply.MemberRecords)
		a.Promised = max(a.Promised, reply.Promised)
		if a.Position.Compare(reply.Position) < 0 {
			a = a.accept(reply.Position, reply.State)
		}
		a.Committed = max(a.Committed, reply.Committed)
	}
	a.Phase = PhaseEstablished
	a.PromiseDirty = true
	return a, true
}

// asInitialMember is the first state on an empty disk of one of the initial members, at the
// first start of a whole cluster. All members know the disk IDs of all, so they need no
// control state to agree on them. Member IDs count from 1 in the order of the addresses.
// (DESIGN 6.5)
func (a Acceptor) asInitialMember(memberID int, addresses []string) Acceptor {
	for i, addr := range addresses {
		a.InitialMembers = append(a.InitialMembers, config.Member{MemberID: i + 1, DiskID: initialDiskID(addr), Addr: addr})
	}
	a.Self = Sender{MemberID: memberID, Incarnation: 1, DiskID: initialDiskID(addresses[memberID-1])}
	a.Phase, a.PromiseDirty = PhaseEstablished, true
	return a
}

// initialDiskID is the disk ID of the initial member at an address.
func initialDiskID(addr string) uint64 {
	sum := sha256.Sum256([]byte("curlewwalk founder " + addr))
	return binary.BigEndian.Uint64(sum[:]) | 1
}

// Rejoining is the state of an acceptor that was removed: it asks for membership under a new
// disk ID. It may keep the state that it holds: no member set yet counts what that ID says.
func (a Acceptor) Rejoining(diskID uint64) Acceptor {
	a.Phase, a.Self, a.PromiseDirty = PhaseJoining, Sender{DiskID: diskID}, true
	return a
}
