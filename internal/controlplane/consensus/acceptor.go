package consensus

import (
	"maps"

	"curlewwalk/internal/config"
)

// Acceptor is one replica's share of the register that the control planes hold together. It
// is a value without clock, goroutines or I/O: each method returns the next state. Of one
// with PromiseDirty or StateDirty set, what is dirty must be on disk before anything that
// follows from it is sent. (DESIGN 6.2)
type Acceptor struct {
	Self Sender
	// StaticSize is how many static members there are; zero where members come and go.
	StaticSize int
	// InitialMembers are those that a cluster whose members come and go was started with, on
	// the disk of one of them.
	InitialMembers []config.Member
	Phase          Phase
	// Promised is the highest term promised: messages of lower ones are refused.
	Promised uint64
	// Position and State are what was accepted last.
	Position Position
	State    config.ControlState
	// MemberRecords has the highest known incarnation of each member ID, and the disk that has it.
	MemberRecords map[int]MemberRecord
	// Committed is the highest revision known to be held by a majority; not on disk.
	Committed uint64
	// PromiseDirty and StateDirty say what must be saved.
	PromiseDirty, StateDirty bool
}

// Step takes a message and answers it.
func (a Acceptor) Step(message Message) (Acceptor, Reply) {
	a.PromiseDirty, a.StateDirty = false, false
	granted := a.admits(message)
	if granted {
		a, granted = a.handle(message)
	}
	return a, a.reply(message, granted)
}

// admits refuses all but reads while the acceptor is not established, and senders that
// another disk has replaced.
func (a Acceptor) admits(message Message) bool {
	if message.Type == MsgRead || message.Type == MsgReadIndex {
		return true
	}
	if a.Phase == PhaseJoining {
		return message.Type != MsgJoin
	}
	if message.Type == MsgJoin && a.StaticSize == 0 {
		return false // where members come and go, the control state names them
	}
	return a.Phase == PhaseEstablished && (message.Type == MsgJoin || message.Sender.isCurrent(a.MemberRecords[message.Sender.MemberID]))
}

// handle takes a message that was admitted.
func (a Acceptor) handle(message Message) (next Acceptor, granted bool) {
	switch message.Type {
	case MsgPrepare:
		return a.handlePrepare(message)
	case MsgAccept:
		return a.handleAccept(message)
	case MsgCommit:
		return a.handleCommit(message), true
	case MsgJoin:
		return a.handleJoin(message)
	}
	return a, true // reads change nothing
}

// handlePrepare promises a term. A term belongs to one member, so the same one may be
// promised again.
func (a Acceptor) handlePrepare(message Message) (next Acceptor, granted bool) {
	if message.Term < a.Promised {
		return a, false
	}
	a.PromiseDirty = message.Term > a.Promised
	a.Promised = message.Term
	return a, true
}

// handleAccept accepts a proposal. One that a later proposal of the same term has superseded
// must not undo that one. One that comes again is on disk already: a position has one state
// only.
func (a Acceptor) handleAccept(message Message) (next Acceptor, granted bool) {
	granted = message.Term >= a.Promised && message.Position.Term == message.Term && message.Position.Compare(a.Position) >= 0
	if granted && message.Position != a.Position {
		a = a.accept(message.Position, message.State)
	}
	return a, granted
}

// handleCommit takes a committed state. It may be copied whatever was promised since: each
// later term has seen it. (DESIGN 6.4)
func (a Acceptor) handleCommit(message Message) Acceptor {
	if a.Position.Compare(message.Position) < 0 {
		a = a.accept(message.Position, message.State)
	}
	return a.commit(message.Position.Revision)
}

// handleJoin records that another disk takes over a static member.
func (a Acceptor) handleJoin(message Message) (next Acceptor, granted bool) {
	sender := message.Sender
	if sender.Incarnation <= a.MemberRecords[sender.MemberID].Incarnation {
		return a, false
	}
	return a.recordMembers(map[int]MemberRecord{sender.MemberID: {Incarnation: sender.Incarnation, DiskID: sender.DiskID}}), true
}

// reply is the answer to a message. It holds the control state only where the sender needs it.
func (a Acceptor) reply(message Message, granted bool) Reply {
	reply := Reply{
		Sender: a.Self, Type: message.Type, Term: message.Term, Granted: granted, Phase: a.Phase, Promised: a.Promised,
		Position: a.Position, Committed: a.Committed, MemberRecords: a.MemberRecords, MemberSets: a.MemberSets(),
	}
	if message.Type == MsgPrepare || message.Type == MsgRead || message.Type == MsgJoin {
		reply.State = a.State
	}
	return reply
}

// accept takes a state as the newest one.
func (a Acceptor) accept(position Position, state config.ControlState) Acceptor {
	a.Position, a.State, a.StateDirty = position, state, true
	a.Promised = max(a.Promised, position.Term)
	return a.adoptMemberID()
}

// commit notes that the accepted state is committed up to a revision. A joining acceptor that
// the state names is a member by that. The state may have been read from a disk that lost
// power before it had the member ID, so that is adopted here as well.
func (a Acceptor) commit(revision uint64) Acceptor {
	a.Committed = max(a.Committed, revision)
	a = a.adoptMemberID()
	if a.Phase == PhaseJoining && a.Committed == a.Position.Revision && a.Self.MemberID != 0 && containsSender(a.MemberSets().Current, a.Self) {
		a.Phase, a.PromiseDirty = PhaseEstablished, true
	}
	return a
}

// adoptMemberID gives a joining acceptor the member ID under which the accepted state has its
// disk.
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

// recordMembers takes over the records of incarnations that are higher than the known ones.
func (a Acceptor) recordMembers(records map[int]MemberRecord) Acceptor {
	next := maps.Clone(a.MemberRecords)
	if next == nil {
		next = map[int]MemberRecord{}
	}
	for id, record := range records {
		if record.Incarnation > next[id].Incarnation {
			next[id], a.PromiseDirty = record, true
		}
	}
	a.MemberRecords = next
	return a
}

// MemberSets are the member sets that this acceptor knows.
func (a Acceptor) MemberSets() MemberSets {
	switch {
	case len(a.State.Members) > 0:
		return MemberSets{Current: a.State.Members, Previous: a.State.PreviousMembers}
	case a.StaticSize > 0:
		return MemberSets{Current: staticMembers(a.StaticSize)}
	}
	return MemberSets{Current: a.InitialMembers}
}

// IsMember reports whether the current member set names this acceptor, as far as it knows.
func (a Acceptor) IsMember() bool {
	return a.Phase == PhaseEstablished && containsSender(a.MemberSets().Current, a.Self)
}

// Removed reports whether a committed state has removed this acceptor. While a majority of the
// previous member set is still needed, so is its vote.
func (a Acceptor) Removed() bool {
	return a.StaticSize == 0 && a.Phase == PhaseEstablished && a.Committed == a.Position.Revision && !containsSender(a.MemberSets().Union(), a.Self)
}
