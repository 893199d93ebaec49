package modelcheck

import (
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// timeoutStep is longer than each time-out of the proposer.
const timeoutStep = time.Minute

// noDeadline is a deadline that is never reached.
const noDeadline = 1 << 62

// step is the state after an event.
func (s *state) step(e event) *state {
	next := s.clone()
	switch e.kind {
	case deliver, deliverTwice, crashBetweenWrites:
		m := s.inFlight[e.index]
		if e.kind == deliverTwice {
			next.remaining.Duplicated--
		} else {
			next.inFlight = slices.Delete(slices.Clone(s.inFlight), e.index, e.index+1)
		}
		next.deliver(m, e.kind == crashBetweenWrites)
	case crash:
		next.remaining.Crashes--
		n := s.nodes[e.node]
		next.nodes[e.node] = startNode(n.addr, n.disk, n.now)
	case loseDisk:
		next.remaining.DisksLost--
		next.nodes[e.node] = startNode(s.nodes[e.node].addr, consensus.Bootstrap{}.InitialState(drawnID(s.drawnIDs)), s.nodes[e.node].now)
		next.drawnIDs++
	case timeout:
		next.remaining.Timeouts--
		next.runProposer(e.node, func(n *node) []consensus.Ready {
			n.now += timeoutStep
			return n.proposer.Tick(n.now)
		})
	case beginQuorumRead:
		next.beginRead(e.node)
	case answerQuorumRead:
		next.answerRead(e.node)
	case submit:
		next.openCommands &^= 1 << e.index
		command := s.scenario.Commands[e.index].command(s)
		command.ID, command.Deadline = uint64(e.index+1), noDeadline
		next.runProposer(e.node, func(n *node) []consensus.Ready { return n.proposer.Enqueue(command, n.now) })
	}
	next.dropIgnored()
	return next
}

// deliver has a node handle a message. torn has it crash between its two writes to disk, that
// of the accepted state and that of the promise.
func (s *state) deliver(m message, torn bool) {
	if m.reply != nil {
		s.runProposer(m.to, func(n *node) []consensus.Ready {
			if n.memory.Phase != consensus.PhaseEstablished {
				return nil
			}
			return n.proposer.HandleReply(*m.reply, n.now)
		})
		return
	}
	old := s.nodes[m.to]
	acceptor, reply := old.memory.Step(*m.request)
	if torn {
		s.remaining.Crashes--
		disk := old.disk
		disk.Position, disk.State = acceptor.Position, acceptor.State
		s.nodes[m.to] = startNode(old.addr, disk, old.now)
		return
	}
	s.save(m.to, acceptor)
	s.recordIfCommitted(acceptor)
	if own := reply.FromMember(config.Member{MemberID: m.memberID, DiskID: m.diskID}); own != nil && m.request.Type != consensus.MsgCommit {
		s.post(message{from: m.to, to: m.from, reply: own})
	}
}

// save writes to disk what an acceptor says must be there, and goes on with it.
func (s *state) save(at int, acceptor consensus.Acceptor) {
	old := s.nodes[at]
	n := &node{addr: old.addr, disk: old.disk, memory: acceptor, proposer: old.proposer.Clone(), now: old.now}
	if acceptor.StateDirty {
		n.disk.Position, n.disk.State = acceptor.Position, acceptor.State
	}
	if acceptor.PromiseDirty {
		n.disk.Self, n.disk.Phase, n.disk.Promised, n.disk.MemberRecords = acceptor.Self, acceptor.Phase, acceptor.Promised, acceptor.MemberRecords
	}
	n.memory.StateDirty, n.memory.PromiseDirty = false, false
	n.proposer.FollowAcceptor(n.memory, n.now)
	s.nodes[at] = n.sealed()
	if n.memory.Removed() {
		s.save(at, n.memory.Rejoining(drawnID(s.drawnIDs)))
		s.drawnIDs++
	}
}

// runProposer lets the proposer of a node do something, and carries out what it wants.
func (s *state) runProposer(at int, action func(*node) []consensus.Ready) {
	n := *s.nodes[at]
	n.proposer = n.proposer.Clone()
	ready := action(&n)
	s.nodes[at] = n.sealed()
	for _, item := range ready {
		if item.Result != nil {
			s.recordResult(*item.Result)
		}
		if item.Message == nil {
			continue
		}
		s.recordProposal(at, *item.Message)
		own := -1
		for i, member := range item.To {
			switch to := s.nodeOf(at, member); {
			case to == at:
				own = i
			case to >= 0:
				s.post(message{from: at, to: to, request: item.Message, memberID: member.MemberID, diskID: member.DiskID})
			}
		}
		if own >= 0 {
			s.deliverToSelf(at, *item.Message, item.To[own])
		}
	}
}

// deliverToSelf has a node's own acceptor handle a message of its proposer, and the proposer the
// reply, at once: both are in one process, and no other message needs to come between.
func (s *state) deliverToSelf(at int, message consensus.Message, member config.Member) {
	acceptor, reply := s.nodes[at].memory.Step(message)
	s.save(at, acceptor)
	s.recordIfCommitted(acceptor)
	if own := reply.FromMember(member); own != nil && message.Type != consensus.MsgCommit {
		s.runProposer(at, func(n *node) []consensus.Ready { return n.proposer.HandleReply(*own, n.now) })
	}
}

// nodeOf is the index of the node that a member's messages reach: the sender itself, or whoever
// is at the member's address now.
func (s *state) nodeOf(at int, member config.Member) int {
	if self := s.nodes[at].memory.Self; self.MemberID == member.MemberID && self.DiskID == member.DiskID {
		return at
	}
	return s.nodeAt(member.Addr)
}

// dropIgnored drops messages that change nothing any more, so that states merge: requests that
// would be refused when nobody waits for the refusal, and replies for a term that is over.
func (s *state) dropIgnored() {
	matters := func(m message) bool {
		if m.reply != nil {
			return s.nodes[m.to].proposer.CanAffect(*m.reply)
		}
		to, request := s.nodes[m.to].memory, m.request
		switch request.Type {
		case consensus.MsgCommit:
			return to.Position.Compare(request.Position) < 0 || to.Committed < request.Position.Revision
		case consensus.MsgAccept:
			stale := to.Promised > request.Term || to.Position.Compare(request.Position) > 0
			return !stale || s.nodes[m.from].proposer.HoldsTerm(request.Term)
		}
		return to.Promised <= request.Term || s.nodes[m.from].proposer.HoldsTerm(request.Term)
	}
	if slices.ContainsFunc(s.inFlight, func(m message) bool { return !matters(m) }) {
		s.inFlight = slices.DeleteFunc(slices.Clone(s.inFlight), func(m message) bool { return !matters(m) })
	}
}
