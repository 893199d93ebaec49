package consensus

import (
	"context"

	"curlewwalk/internal/config"
)

// quorumRead is the result of a quorum read: the reply with the newest state, and whether that
// state is known to be committed.
type quorumRead struct {
	highest   Reply
	committed bool
}

// quorumReader reads from a majority of the acceptors. It is stateless.
type quorumReader struct {
	members *memberClient
	local   localAcceptor
}

// read asks a majority for its newest state, with a MsgReadIndex or a MsgRead. It returns false
// if no majority answers. It waits for more replies than a majority to find out whether the
// state is committed. Every write that was acknowledged before the read began is included in
// the replies. (DESIGN 7.2)
func (q *quorumReader) read(ctx context.Context, messageType MessageType) (quorumRead, bool) {
	self := q.local.Acceptor()
	if self.Phase != PhaseEstablished {
		return quorumRead{}, false
	}
	members := self.MemberSets()
	judge := func(replies map[int]Reply) quorumProgress { return readProgress(replies, members) }
	replies := CurrentReplies(q.members.collectReplies(ctx, Message{Sender: self.Self, Type: messageType}, judge))
	if !HasReadQuorum(replies, members) {
		return quorumRead{}, false
	}
	highest, committed := NewestState(replies, members)
	return quorumRead{highest: highest, committed: committed}, true
}

// readProgress evaluates the replies to a quorum read. The parameter own holds the member sets
// known to the reader.
func readProgress(replies map[int]Reply, own MemberSets) quorumProgress {
	current := CurrentReplies(replies)
	if !HasReadQuorum(current, own) {
		return quorumPending
	}
	if _, committed := NewestState(current, own); !committed {
		return quorumReached
	}
	return quorumConclusive
}

// fetch returns the control state that belongs to a reply without one. It requests the state
// from the acceptor that sent the reply, and returns false if that acceptor has accepted
// another state since.
func (q *quorumReader) fetch(ctx context.Context, holder Reply) (config.ControlState, bool) {
	self := q.local.Acceptor()
	if self.Position == holder.Position {
		return self.State, true
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	reply := q.members.send(ctx, holder.sendingMember(), Message{Sender: self.Self, Type: MsgRead})
	if reply == nil || reply.Position != holder.Position {
		return config.ControlState{}, false
	}
	return reply.State, true
}
