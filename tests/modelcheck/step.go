package modelcheck

import (
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// timeoutStep is longer than every timeout of the proposer.
const timeoutStep = time.Minute

// noDeadline is a deadline that is never reached.
const noDeadline = 1 << 62

// step returns the state after an event.
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
		next.nodes[e.node] = startNode(s.nodes[e.node].addr, consensus.Bootstrap{}.InitialState(generatedID(s.generatedIDs)), s.nodes[e.node].now)
		next.generatedIDs++
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

// deliver delivers a message to its receiver. If torn is set, the receiver crashes between its two
// disk writes: after that of the accepted state and before that of the promise.
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

// save makes acceptor the node's acceptor, and writes its changed parts to the node's disk. A node
// that was removed from the member set gets a new disk ID with which it can rejoin.
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
	s.nodes[at] = n.withDigests()
	if n.memory.Removed() {
		s.save(at, n.memory.Rejoining(generatedID(s.generatedIDs)))
		s.generatedIDs++
	}
}

// runProposer runs an action on a node's proposer, then records the results and sends the messages
// that the proposer returns.
func (s *state) runProposer(at int, action func(*node) []consensus.Ready) {
	n := *s.nodes[at]
	n.proposer = n.proposer.Clone()
	ready := action(&n)
	s.nodes[at] = n.withDigests()
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

// deliverToSelf delivers a proposer's message to the acceptor of the same node, and the reply to
// the proposer, in one step. Both are in one process, so no interleaving with other messages needs to
// be explored.
func (s *state) deliverToSelf(at int, message consensus.Message, member config.Member) {
	acceptor, reply := s.nodes[at].memory.Step(message)
	s.save(at, acceptor)
	s.recordIfCommitted(acceptor)
	if own := reply.FromMember(member); own != nil && message.Type != consensus.MsgCommit {
		s.runProposer(at, func(n *node) []consensus.Ready { return n.proposer.HandleReply(*own, n.now) })
	}
}

// nodeOf returns the index of the node that receives messages to a member: the sender if it is that
// member, otherwise the node that has the member's address now.
func (s *state) nodeOf(at int, member config.Member) int {
	if self := s.nodes[at].memory.Self; self.MemberID == member.MemberID && self.DiskID == member.DiskID {
		return at
	}
	return s.nodeAt(member.Addr)
}

// dropIgnored drops the messages that can no longer change anything, so that more states merge.
// These are commits that the receiver already has, requests whose rejection the sender's proposer
// would ignore, and replies that the receiving proposer would ignore.
func (s *state) dropIgnored() {
	hasEffect := func(m message) bool {
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
	if slices.ContainsFunc(s.inFlight, func(m message) bool { return !hasEffect(m) }) {
		s.inFlight = slices.DeleteFunc(slices.Clone(s.inFlight), func(m message) bool { return !hasEffect(m) })
	}
}
