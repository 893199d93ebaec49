package modelcheck

import (
	"slices"

	"curlewwalk/internal/controlplane/consensus"
)

// quorumRead is a quorum read in progress. The reader sends a request to all nodes. Each reply is
// an event of its own, and other events may happen between the replies. (DESIGN 6.4, 7.2)
type quorumRead struct {
	active bool
	reader int
	// minRevision is the highest revision that was acknowledged before the read began. The read
	// must not return an older one.
	minRevision uint64
	// sets are the member sets that the reader had when the read began.
	sets consensus.MemberSets
	// answered has a bit for each node that has replied. replies holds the replies, by node.
	answered uint
	replies  []consensus.Reply
}

// beginRead begins a quorum read at a node.
func (s *state) beginRead(at int) {
	s.remaining.QuorumReads--
	s.read = quorumRead{active: true, reader: at, sets: s.nodes[at].memory.MemberSets(), replies: make([]consensus.Reply, len(s.nodes))}
	for _, a := range s.acknowledged {
		s.read.minRevision = max(s.read.minRevision, a.revision)
	}
}

// answerRead adds a node's reply to the quorum read. Replies may be reordered or lost, so the
// reader's conclusion from every subset of the replies given so far is checked.
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
		read = quorumRead{} // all nodes have replied
	}
	s.read = read
}

// checkRead checks the result of a read from the received replies. It must not be older than the
// revisions acknowledged before the read began, and a state that it reports as committed must be
// the committed state of its revision. received has a bit for each node.
func (s *state) checkRead(read quorumRead, received uint) {
	counted := consensus.CurrentReplies(s.repliesOf(read.replies, int(received), read.sets))
	if !consensus.HasReadQuorum(counted, read.sets) {
		return
	}
	newest, committed := consensus.NewestState(counted, read.sets)
	if newest.Position.Revision < read.minRevision {
		s.violate("a quorum read of node %d returns revision %d after revision %d was acknowledged", read.reader+1, newest.Position.Revision, read.minRevision)
	}
	if committed && newest.Position != (consensus.Position{}) {
		s.recordCommit(newest.Position.Revision, newest.State)
	}
}

// appendState appends an encoding of the read to b.
func (read quorumRead) appendState(b []byte) []byte {
	if !read.active {
		return append(b, 0)
	}
	b = append(b, 1, byte(read.reader), byte(read.minRevision), byte(read.answered))
	for i, reply := range read.replies {
		if read.answered&(1<<i) != 0 {
			b = reply.AppendState(b)
		}
	}
	return b
}
