package modelcheck

import (
	"slices"

	"curlewwalk/internal/controlplane/consensus"
)

// look is a quorum read under way: a node asks all others, each answers at a moment of its
// own, and things go on between the answers. (DESIGN 6.4, 7.2)
type look struct {
	open  bool
	asker int
	// since is the highest stamp that was acknowledged before it began.
	since uint64
	// own are the sets that the asker knew of then.
	own consensus.MemberSets
	// answered tells by bit which nodes have answered, votes what.
	answered uint
	votes    []consensus.Reply
}

// beginLook has a node ask for the newest word.
func (s *state) beginLook(at int) {
	s.left.Looks--
	s.look = look{open: true, asker: at, own: s.nodes[at].memory.MemberSets(), votes: make([]consensus.Reply, len(s.nodes))}
	for _, a := range s.acked {
		s.look.since = max(s.look.since, a.stamp)
	}
}

// answerLook has a node answer. Answers come in any order and may be lost, so whatever the
// asker may make of any of those that were given must hold.
func (s *state) answerLook(at int) {
	l := s.look
	l.votes = slices.Clone(l.votes)
	_, l.votes[at] = s.nodes[at].memory.Step(consensus.Message{Type: consensus.MsgRead})
	l.answered |= 1 << at
	for came := uint(1); came <= l.answered; came++ {
		if came&^l.answered == 0 && came&(1<<at) != 0 {
			s.showLook(l, came)
		}
	}
	if l.answered == 1<<len(s.nodes)-1 {
		l = look{} // no answer is to come any more
	}
	s.look = l
}

// showLook checks what the answers that came show: nothing older than what had been
// acknowledged before, and for settled only what is.
func (s *state) showLook(l look, came uint) {
	counted := consensus.CurrentReplies(s.votes(l.votes, int(came), l.own))
	if !consensus.HasReadQuorum(counted, l.own) {
		return
	}
	top, held := consensus.NewestState(counted, l.own)
	if top.Position.Revision < l.since {
		s.breaks("a look of node %d shows stamp %d after %d was acknowledged", l.asker+1, top.Position.Revision, l.since)
	}
	if held && top.Position != (consensus.Position{}) {
		s.settle(top.Position.Revision, top.State)
	}
}

// appendState appends an encoding of the look.
func (l look) appendState(b []byte) []byte {
	if !l.open {
		return append(b, 0)
	}
	b = append(b, 1, byte(l.asker), byte(l.since), byte(l.answered))
	for i, v := range l.votes {
		if l.answered&(1<<i) != 0 {
			b = v.AppendState(b)
		}
	}
	return b
}
