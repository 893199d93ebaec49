package consensus

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"

	"curlewwalk/internal/config"
)

// Acceptor is one core's share of the register. On answers with the next state;
// a state with Dirty set must be on disk before the vote is sent. (DESIGN 6.2)
type Acceptor struct {
	Self Sender
	// StaticSize is how many static slots there are; zero where slots come and go.
	// Founders are those that it began with there, for one of them.
	StaticSize     int
	InitialMembers []config.Member
	Phase          Phase
	Promised       uint64
	Position       Position
	State          config.ControlState
	// Members is the highest incarnation known of each slot.
	Members map[int]MemberRecord
	// Committed is the highest stamp known to be held by a majority; not on disk.
	Committed uint64
	// PromiseDirty and StateDirty say what must be saved.
	PromiseDirty, StateDirty bool
}

// Majority is how many of n slots decide.
func Majority(n int) int { return n/2 + 1 }

// Step takes a ballot.
func (a Acceptor) Step(message Message) (Acceptor, Reply) {
	a.PromiseDirty, a.StateDirty = false, false
	ok := a.admits(message)
	switch {
	case !ok:
	case message.Type == MsgPrepare:
		// An epoch belongs to one slot, so hearing it twice is no clash.
		if ok = message.Term >= a.Promised; ok {
			a.PromiseDirty = message.Term > a.Promised
			a.Promised = message.Term
		}
	case message.Type == MsgAccept:
		// An overtaken proposal of the same epoch must not undo a later one.
		// One that comes again is on disk already: a mark is of one word only.
		if ok = message.Term >= a.Promised && message.Position.Term == message.Term && message.Position.Compare(a.Position) >= 0; ok && message.Position != a.Position {
			a = a.accept(message.Position, message.State)
		}
	case message.Type == MsgCommit:
		// A settled word may be copied whatever was promised since: each later
		// epoch has seen it. (DESIGN 6.4)
		if a.Position.Compare(message.Position) < 0 {
			a = a.accept(message.Position, message.State)
		}
		a = a.commit(message.Position.Revision)
	case message.Type == MsgJoin:
		if ok = message.Sender.Incarnation > a.Members[message.Sender.MemberID].Incarnation; ok {
			a = a.recordMembers(map[int]MemberRecord{message.Sender.MemberID: {Incarnation: message.Sender.Incarnation, DiskID: message.Sender.DiskID}})
		}
	}
	reply := Reply{
		Sender: a.Self, Type: message.Type, Term: message.Term, Granted: ok, Phase: a.Phase, Promised: a.Promised,
		Position: a.Position, Committed: a.Committed, Members: a.Members, MemberSets: a.MemberSets(),
	}
	if message.Type == MsgPrepare || message.Type == MsgRead || message.Type == MsgJoin {
		reply.State = a.State
	}
	return a, reply
}

// admits refuses all but reads while not established, and whoever lost its seat.
func (a Acceptor) admits(message Message) bool {
	if message.Type == MsgRead || message.Type == MsgReadIndex {
		return true
	}
	if a.Phase == PhaseJoining {
		return message.Type != MsgJoin
	}
	if message.Type == MsgJoin && a.StaticSize == 0 {
		return false // slots that come and go are given by the word
	}
	return a.Phase == PhaseEstablished && (message.Type == MsgJoin || message.Sender.isCurrent(a.Members[message.Sender.MemberID]))
}

func (a Acceptor) accept(position Position, state config.ControlState) Acceptor {
	a.Position, a.State, a.StateDirty = position, state, true
	a.Promised = max(a.Promised, position.Term)
	return a.adoptMemberID()
}

// adoptMemberID gives an acceptor that seeks a seat the slot under which the held word names it.
func (a Acceptor) adoptMemberID() Acceptor {
	if a.Phase != PhaseJoining {
		return a
	}
	for _, m := range a.State.Members {
		if m.DiskID == a.Self.DiskID && m.MemberID != a.Self.MemberID {
			a.Self, a.PromiseDirty = Sender{MemberID: m.MemberID, Incarnation: 1, DiskID: m.DiskID}, true
		}
	}
	return a
}

func (a Acceptor) recordMembers(records map[int]MemberRecord) Acceptor {
	next := maps.Clone(a.Members)
	if next == nil {
		next = map[int]MemberRecord{}
	}
	for id, record := range records {
		if record.Incarnation > next[id].Incarnation {
			next[id], a.PromiseDirty = record, true
		}
	}
	a.Members = next
	return a
}

// Establish decides whether an empty core may be established, from the votes that
// the other slots gave to a Read. All slots must answer, and none may hold a
// word or have lost one. Those already born must have seen this very disk at
// their birth: else it came in place of another, and takes its seat by Sit.
// (DESIGN 6.5)
func (a Acceptor) Establish(replies map[int]Reply) (Acceptor, bool) {
	if a.Phase != PhaseEmpty || len(replies) < a.StaticSize-1 {
		return a, false
	}
	members := map[int]MemberRecord{a.Self.MemberID: {Incarnation: 1, DiskID: a.Self.DiskID}}
	promised := a.Promised
	for id, reply := range replies {
		if reply.Phase == PhaseLost || reply.Position != (Position{}) || reply.Phase == PhaseEstablished && reply.Members[a.Self.MemberID] != members[a.Self.MemberID] {
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

// NextIncarnation is the incarnation with which an empty core asks for its seat: one
// more than any that the others know of. It may ask once a majority of the
// established answer.
func (a Acceptor) NextIncarnation(replies map[int]Reply) (Sender, bool) {
	incarnation := a.Self.Incarnation
	for _, reply := range replies {
		incarnation = max(incarnation, reply.Members[a.Self.MemberID].Incarnation)
	}
	return Sender{MemberID: a.Self.MemberID, Incarnation: incarnation + 1, DiskID: a.Self.DiskID}, len(CurrentReplies(replies)) >= Majority(a.StaticSize)
}

// CompleteJoin decides whether an empty core has copied from a majority of the
// established, from the votes they gave to its Sit. (DESIGN 6.5)
func (a Acceptor) CompleteJoin(self Sender, replies map[int]Reply) (Acceptor, bool) {
	// An acceptor that was swapped out itself may not know it: it does not count.
	granted := CurrentReplies(replies)
	maps.DeleteFunc(granted, func(_ int, reply Reply) bool { return !reply.Granted })
	if a.Phase == PhaseEstablished || len(granted) < Majority(a.StaticSize) {
		return a, false
	}
	a.Self = self
	for _, reply := range granted {
		a = a.recordMembers(reply.Members)
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

// CurrentReplies leaves the votes that may be counted: those of acceptors that still hold their seats as far as any of the votes says.
func CurrentReplies(replies map[int]Reply) map[int]Reply {
	out := map[int]Reply{}
	for id, reply := range replies {
		ok := reply.Phase == PhaseEstablished || reply.Phase == PhaseJoining
		for _, other := range replies {
			ok = ok && reply.Sender.isCurrent(other.Members[reply.Sender.MemberID])
		}
		if ok {
			out[id] = reply
		}
	}
	return out
}

// NewestState finds the newest word among counted votes that are complete; held tells
// whether majorities are known to hold it.
func NewestState(replies map[int]Reply, own MemberSets) (highest Reply, committed bool) {
	highest, sets := HighestReply(replies, own)
	matching, known := map[int]Reply{}, false
	for id, reply := range replies {
		if reply.Position == highest.Position {
			matching[id] = reply
			known = known || reply.Committed == reply.Position.Revision
		}
	}
	return highest, known || sets.HasQuorum(matching)
}

// MemberSets are the sets that this acceptor knows of.
func (a Acceptor) MemberSets() MemberSets {
	switch {
	case len(a.State.Members) > 0:
		return MemberSets{Current: a.State.Members, Previous: a.State.PreviousMembers}
	case a.StaticSize > 0:
		return MemberSets{Current: staticMembers(a.StaticSize)}
	}
	return MemberSets{Current: a.InitialMembers}
}

// IsMember tells whether the set in force, as far as this acceptor knows, names it.
func (a Acceptor) IsMember() bool {
	return a.Phase == PhaseEstablished && containsSender(a.MemberSets().Current, a.Self)
}

// Removed tells whether a settled word has struck its slot. While a majority of the
// set before is still needed, its vote is.
func (a Acceptor) Removed() bool {
	return a.StaticSize == 0 && a.Phase == PhaseEstablished && a.Committed == a.Position.Revision && !containsSender(a.MemberSets().Union(), a.Self)
}

// AsInitialMember is an empty core's first state as one of the founders, at the first start
// of a whole system. All know the identities of all, so no word is needed between
// them. (DESIGN 6.5)
func (a Acceptor) AsInitialMember(memberID int, addresses []string) Acceptor {
	for i, addr := range addresses {
		a.InitialMembers = append(a.InitialMembers, config.Member{MemberID: i + 1, DiskID: initialDiskID(addr), Addr: addr})
	}
	a.Self, a.Phase, a.PromiseDirty = Sender{MemberID: memberID, Incarnation: 1, DiskID: initialDiskID(addresses[memberID-1])}, PhaseEstablished, true
	return a
}

// initialDiskID is the identity of the founder at an address.
func initialDiskID(addr string) uint64 {
	sum := sha256.Sum256([]byte("curlewwalk founder " + addr))
	return binary.BigEndian.Uint64(sum[:]) | 1
}

// Rejoining is what becomes of an acceptor whose slot was struck: it seeks a seat under a
// new identity. What it holds it may keep: no set yet counts what that identity says.
func (a Acceptor) Rejoining(id uint64) Acceptor {
	a.Phase, a.Self, a.PromiseDirty = PhaseJoining, Sender{DiskID: id}, true
	return a
}

// commit notes that the held word is settled; one that it names has its seat by it.
// The word may have been read from a disk that lost power before it took the slot.
func (a Acceptor) commit(revision uint64) Acceptor {
	a.Committed = max(a.Committed, revision)
	a = a.adoptMemberID()
	if a.Phase == PhaseJoining && a.Committed == a.Position.Revision && a.Self.MemberID != 0 && containsSender(a.MemberSets().Current, a.Self) {
		a.Phase, a.PromiseDirty = PhaseEstablished, true
	}
	return a
}
