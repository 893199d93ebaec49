package consensus

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"

	"curlewwalk/internal/config"
)

// Establish decides whether the acceptor of an empty disk may be established, based on the
// replies of the other static members to a MsgRead. All of them must have answered, and none
// may hold a state or have lost one. Members that are already established must have recorded
// this disk when they were established. Otherwise this disk replaces another one and must
// request the membership by MsgJoin. If established is true, next has adopted the highest
// promise among the replies. (DESIGN 6.5)
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

// NextIncarnation returns the sender identity with which the acceptor of an empty disk requests
// its static membership. The incarnation is one higher than any that this acceptor and the
// given replies know for its member ID. The identity may be used only if ready is set, that is
// if the counted replies are a majority of the static members.
func (a Acceptor) NextIncarnation(replies map[int]Reply) (self Sender, ready bool) {
	incarnation := a.Self.Incarnation
	for _, reply := range replies {
		incarnation = max(incarnation, reply.MemberRecords[a.Self.MemberID].Incarnation)
	}
	self = Sender{MemberID: a.Self.MemberID, Incarnation: incarnation + 1, DiskID: a.Self.DiskID}
	return self, len(CurrentReplies(replies)) >= Majority(a.StaticSize)
}

// CompleteJoin decides whether the acceptor of an empty disk has joined, based on the replies
// to its MsgJoin, which was sent as self. A majority of the static members must have granted
// the request, which only established acceptors do. The acceptor then copies the highest state
// and promise from their replies. (DESIGN 6.5)
func (a Acceptor) CompleteJoin(self Sender, replies map[int]Reply) (next Acceptor, joined bool) {
	// An acceptor whose own disk has been replaced may not know that. Its reply does not count.
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

// asInitialMember returns the first state of an initial member on an empty disk at the first
// start of a whole cluster. Every member can derive the disk IDs of all members, so no control
// state is needed to agree on them. Member IDs count from 1 in the order of the addresses.
// (DESIGN 6.5)
func (a Acceptor) asInitialMember(memberID int, addresses []string) Acceptor {
	for i, addr := range addresses {
		a.InitialMembers = append(a.InitialMembers, config.Member{MemberID: i + 1, DiskID: initialDiskID(addr), Addr: addr})
	}
	a.Self = Sender{MemberID: memberID, Incarnation: 1, DiskID: initialDiskID(addresses[memberID-1])}
	a.Phase, a.PromiseDirty = PhaseEstablished, true
	return a
}

// initialDiskID returns the disk ID of the initial member at an address. Each initial member
// derives the disk IDs of all of them, so the ID depends only on the address. Like the IDs of
// newDiskID, it is never zero.
func initialDiskID(addr string) uint64 {
	sum := sha256.Sum256([]byte("curlewwalk founder " + addr))
	return binary.BigEndian.Uint64(sum[:]) | 1
}

// Rejoining returns the state of a removed acceptor that requests membership again under a new
// disk ID. The acceptor may keep its accepted state, since no member set counts the votes of
// the new disk ID yet.
func (a Acceptor) Rejoining(diskID uint64) Acceptor {
	a.Phase, a.Self, a.PromiseDirty = PhaseJoining, Sender{DiskID: diskID}, true
	return a
}
