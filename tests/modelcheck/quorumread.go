package modelcheck

import (
	"slices"

	"curlewwalk/internal/controlplane/consensus"
)

// quorumRead is a quorum read under way: a node asks all others, each answers at a moment of its
// own, and things go on between the answers. (DESIGN 6.4, 7.2)
type quorumRead struct {
	active bool
	reader int
	// leastRevision is the highest stamp that was acknowledged before it began.
	leastRevision uint64
	// sets are the sets that the asker knew of then.
	sets consensus.MemberSets
	// answered tells by bit which nodes have answered, votes what.
	answered uint
	replies  []consensus.Reply
}

// beginRead has a node ask for the newest word.
func (s *state) beginRead(at int) {
	s.remaining.QuorumReads--
	s.read = quorumRead{active: true, reader: at, sets: s.nodes[at].memory.MemberSets(), replies: make([]consensus.Reply, len(s.nodes))}
	for _, a := range s.acknowledged {
		s.read.leastRevision = max(s.read.leastRevision, a.revision)
	}
}

// answerRead has a node answer. Answers come in any order and may be lost, so whatever the
// asker may make of any of those that were given must hold.
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
		read = quorumRead{} // no answer is to come any more
	}
	s.read = read
}

// checkRead checks what the answers that came show: nothing older than what had been
// acknowledged before, and for settled only what is.
func (s *state) checkRead(read quorumRead, received uint) {
	counted := consensus.CurrentReplies(s.repliesOf(read.replies, int(received), read.sets))
	if !consensus.HasReadQuorum(counted, read.sets) {
		return
	}
	newest, committed := consensus.NewestState(counted, read.sets)
	if newest.Position.Revision < read.leastRevision {
		s.violate("a look of node %d shows stamp %d after %d was acknowledged", read.reader+1, newest.Position.Revision, read.leastRevision)
	}
	if committed && newest.Position != (consensus.Position{}) {
		s.recordCommit(newest.Position.Revision, newest.State)
	}
}

// appendState appends an encoding of the look.
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
