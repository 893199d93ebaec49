package consensus

import (
	"maps"

	"curlewwalk/internal/config"
)

// Acceptor is one replica's acceptor of the register that the control planes replicate. It is a
// value without clock, goroutines, or I/O. Each method returns the next state. If PromiseDirty
// or StateDirty is set in a returned state, that part must be on disk before any reply or
// message that depends on it is sent. (DESIGN 6.2)
type Acceptor struct {
	Self Sender
	// StaticSize is the number of static members. It is zero if the membership is dynamic.
	StaticSize int
	// InitialMembers is the member set with which a cluster of dynamic membership was started.
	// It is set only on the disks of those members.
	InitialMembers []config.Member
	Phase          Phase
	// Promised is the highest promised term. Messages of lower terms are rejected.
	Promised uint64
	// Position and State are the position and the control state that were accepted last.
	Position Position
	State    config.ControlState
	// MemberRecords maps each member ID to its highest known incarnation and the disk of that
	// incarnation. Only acceptors with static membership add records.
	MemberRecords map[int]MemberRecord
	// Committed is the highest revision known to be held by a majority. It is not saved to
	// disk. If it equals Position.Revision, the accepted state is committed: once a revision is
	// committed, no later term proposes another state at that revision.
	Committed uint64
	// PromiseDirty and StateDirty report which parts differ from the disk and must be saved.
	PromiseDirty, StateDirty bool
}

// Step processes a message and returns the next state and the reply.
func (a Acceptor) Step(message Message) (Acceptor, Reply) {
	a.PromiseDirty, a.StateDirty = false, false
	granted := a.admits(message)
	if granted {
		a, granted = a.handle(message)
	}
	return a, a.reply(message, granted)
}

// admits reports whether the acceptor may process a message. Every acceptor admits reads. A
// joining acceptor also admits all messages other than MsgJoin. An established acceptor admits
// MsgJoin if the membership is static, and other messages unless another disk has replaced the
// sender's. An acceptor in any other phase admits only reads.
func (a Acceptor) admits(message Message) bool {
	if message.Type == MsgRead || message.Type == MsgReadIndex {
		return true
	}
	if a.Phase == PhaseJoining {
		return message.Type != MsgJoin
	}
	if message.Type == MsgJoin && a.StaticSize == 0 {
		return false // with dynamic membership, the control state lists the members
	}
	return a.Phase == PhaseEstablished && (message.Type == MsgJoin || message.Sender.isCurrent(a.MemberRecords[message.Sender.MemberID]))
}

// handle processes an admitted message.
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

// handlePrepare promises a term. A term belongs to one member, so the same term may be promised
// repeatedly.
func (a Acceptor) handlePrepare(message Message) (next Acceptor, granted bool) {
	if message.Term < a.Promised {
		return a, false
	}
	a.PromiseDirty = message.Term > a.Promised
	a.Promised = message.Term
	return a, true
}

// handleAccept accepts a proposal. A delayed proposal must not overwrite a later proposal of
// the same term. A repeated proposal is granted without a write, since a position identifies
// one state and that state is already on disk.
func (a Acceptor) handleAccept(message Message) (next Acceptor, granted bool) {
	granted = message.Term >= a.Promised && message.Position.Term == message.Term && message.Position.Compare(a.Position) >= 0
	if granted && message.Position != a.Position {
		a = a.accept(message.Position, message.State)
	}
	return a, granted
}

// handleCommit accepts a committed state. The state may be copied even if a higher term has
// been promised since: before the proposer of a later term proposes anything, it reads that
// state, or one that follows it, from a majority. (DESIGN 6.4)
func (a Acceptor) handleCommit(message Message) Acceptor {
	if a.Position.Compare(message.Position) < 0 {
		a = a.accept(message.Position, message.State)
	}
	return a.commit(message.Position.Revision)
}

// handleJoin records that another disk replaces the disk of a static member.
func (a Acceptor) handleJoin(message Message) (next Acceptor, granted bool) {
	sender := message.Sender
	if sender.Incarnation <= a.MemberRecords[sender.MemberID].Incarnation {
		return a, false
	}
	return a.recordMembers(map[int]MemberRecord{sender.MemberID: {Incarnation: sender.Incarnation, DiskID: sender.DiskID}}), true
}

// reply returns the answer to a message. The control state is included only if the sender needs
// it.
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

// accept replaces the accepted state. It does not set PromiseDirty for the raised promise,
// since loading the saved state raises the promise to its term again.
func (a Acceptor) accept(position Position, state config.ControlState) Acceptor {
	a.Position, a.State, a.StateDirty = position, state, true
	a.Promised = max(a.Promised, position.Term)
	return a.adoptMemberID()
}

// commit records that the accepted state is committed up to a revision. A joining acceptor that
// is listed in the committed state becomes an established member. The member ID is adopted here
// as well, because the state may have been loaded from a disk that lost power before the member
// ID was saved.
func (a Acceptor) commit(revision uint64) Acceptor {
	a.Committed = max(a.Committed, revision)
	a = a.adoptMemberID()
	if a.Phase == PhaseJoining && a.Committed == a.Position.Revision && a.Self.MemberID != 0 && containsSender(a.MemberSets().Current, a.Self) {
		a.Phase, a.PromiseDirty = PhaseEstablished, true
	}
	return a
}

// adoptMemberID sets the member ID of a joining acceptor to the one that the accepted state
// assigns to its disk.
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

// recordMembers merges the records whose incarnation is higher than the known one.
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

// MemberSets returns the member sets known to this acceptor.
func (a Acceptor) MemberSets() MemberSets {
	switch {
	case len(a.State.Members) > 0:
		return MemberSets{Current: a.State.Members, Previous: a.State.PreviousMembers}
	case a.StaticSize > 0:
		return MemberSets{Current: staticMembers(a.StaticSize)}
	}
	return MemberSets{Current: a.InitialMembers}
}

// IsMember reports whether the current member set, as known to this acceptor, includes it.
func (a Acceptor) IsMember() bool {
	return a.Phase == PhaseEstablished && containsSender(a.MemberSets().Current, a.Self)
}

// Removed reports whether a committed state has removed this acceptor. An acceptor in the
// previous member set does not count as removed, since its vote is needed until the
// reconfiguration is finalized.
func (a Acceptor) Removed() bool {
	return a.StaticSize == 0 && a.Phase == PhaseEstablished && a.Committed == a.Position.Revision && !containsSender(a.MemberSets().Union(), a.Self)
}
