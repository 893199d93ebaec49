package modelcheck

import (
	"slices"

	"curlewwalk/internal/controlplane/consensus"
)

// quorumRead is a quorum read in progress: a node asks all nodes, and each replies at a moment
// of its own, with other events between the replies. (DESIGN 6.4, 7.2)
type quorumRead struct {
	active bool
	reader int
	// leastRevision is the highest that was acknowledged before the read began.
	leastRevision uint64
	// sets are the member sets that the reader knew then.
	sets consensus.MemberSets
	// answered has a bit for each node that has replied, replies what they replied.
	answered uint
	replies  []consensus.Reply
}

// beginRead has a node begin a quorum read.
func (s *state) beginRead(at int) {
	s.remaining.QuorumReads--
	s.read = quorumRead{active: true, reader: at, sets: s.nodes[at].memory.MemberSets(), replies: make([]consensus.Reply, len(s.nodes))}
	for _, a := range s.acknowledged {
		s.read.leastRevision = max(s.read.leastRevision, a.revision)
	}
}

// answerRead has a node reply. Replies arrive in any order and may be lost, so whatever the
// reader may conclude from any subset of those given must hold.
func (s *state) answerRead(at int) {
	read := s.read
	read.replies = slices.Clone(read.replies)
	_, read.replies[at] = s.nodes[at].memory.Step(consensus.Message{Type: consensus.MsgRead})
	read.answered |= 1 << at
	for received := uint(1); received <= read.answered; received++ {
		if received&^read.answered == 0 && received&(1<<at) != 0 {
			s.checkRead(read, received)
		}
	}
	if read.answered == 1<<len(s.nodes)-1 {
		read = quorumRead{} // all have replied
	}
	s.read = read
}

// checkRead checks what the received replies return: nothing older than was acknowledged before,
// and as committed only what is. received has a bit for each node.
func (s *state) checkRead(read quorumRead, received uint) {
	counted := consensus.CurrentReplies(s.repliesOf(read.replies, int(received), read.sets))
	if !consensus.HasReadQuorum(counted, read.sets) {
		return
	}
	newest, committed := consensus.NewestState(counted, read.sets)
	if newest.Position.Revision < read.leastRevision {
		s.violate("a quorum read of node %d returns revision %d after %d was acknowledged", read.reader+1, newest.Position.Revision, read.leastRevision)
	}
	if committed && newest.Position != (consensus.Position{}) {
		s.recordCommit(newest.Position.Revision, newest.State)
	}
}

// appendState appends an encoding of the read.
func (read quorumRead) appendState(b []byte) []byte {
	if !read.active {
		return append(b, 0)
	}
	b = append(b, 1, byte(read.reader), byte(read.leastRevision), byte(read.answered))
	for i, v := range read.replies {
		if read.answered&(1<<i) != 0 {
			b = v.AppendState(b)
		}
	}
	return b
}
