package consensus

import (
	"context"

	"curlewwalk/internal/config"
)

// quorumRead is what a majority showed: the reply with the newest state, and whether majorities
// are known to hold that.
type quorumRead struct {
	highest   Reply
	committed bool
}

// quorumReader reads from a majority of the acceptors. It keeps no state of its own.
type quorumReader struct {
	members *memberClient
	local   localAcceptor
}

// read asks a majority for its newest state, by MsgReadIndex or MsgRead; false if none answers.
// More than a majority are asked to find out whether the state is committed. What was
// acknowledged before the read began is among the answers. (DESIGN 7.2)
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

// readProgress judges the replies to a quorum read; own are the member sets that the reader
// knows.
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

// fetch is the whole state of a reply without it, from the acceptor that gave the reply; false
// if that has gone on since.
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
