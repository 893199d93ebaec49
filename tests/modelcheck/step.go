package modelcheck

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// timeoutStep is longer than each time-out of the proposer.
const timeoutStep = time.Minute

// noDeadline is a deadline that is never reached.
const noDeadline = 1 << 62

// eventKind is what happens in an event.
type eventKind string

// The kinds of event.
const (
	deliver            eventKind = "deliver"
	deliverTwice       eventKind = "deliver and keep"
	crashBetweenWrites eventKind = "deliver, and crash between the two writes to disk"
	crash              eventKind = "crash"
	loseDisk           eventKind = "lose the disk"
	timeout            eventKind = "time out"
	submit             eventKind = "submit a command"
	beginQuorumRead    eventKind = "begin a quorum read"
	answerQuorumRead   eventKind = "reply to the quorum read"
)

// event is one thing that may happen next.
type event struct {
	kind    eventKind
	node    int
	index   int      // of the message or the command
	message *message // that is delivered
}

// String describes the event.
func (e event) String() string {
	out := fmt.Sprintf("%s: node %d", e.kind, e.node+1)
	if e.message != nil {
		out += " " + e.message.String()
	}
	return out
}

// String describes the message.
func (m message) String() string {
	if m.request != nil {
		return fmt.Sprintf("from %d %s term %d position %v members %v", m.from+1, m.request.Type, m.request.Term, m.request.Position, consensus.MemberIDs(m.request.State.Members))
	}
	return fmt.Sprintf("from %d reply to %s term %d ok %v promised %d accepted %v", m.from+1, m.reply.Type, m.reply.Term, m.reply.Granted, m.reply.Promised, m.reply.Position)
}

// events lists all that may happen next. A lost message is one that is never delivered, and one
// held up by a partition is one that is delivered late, so neither is an event of its own.
func (s *state) events() (out []event) {
	for i, m := range s.inFlight {
		out = append(out, event{kind: deliver, node: m.to, index: i, message: &s.inFlight[i]})
		if s.remaining.Duplicated > 0 {
			out = append(out, event{kind: deliverTwice, node: m.to, index: i, message: &s.inFlight[i]})
		}
		if s.remaining.Crashes > 0 && m.request != nil {
			if next, _ := s.nodes[m.to].memory.Step(*m.request); next.StateDirty && next.PromiseDirty {
				out = append(out, event{kind: crashBetweenWrites, node: m.to, index: i, message: &s.inFlight[i]})
			}
		}
	}
	for i, n := range s.nodes {
		if s.remaining.Crashes > 0 {
			out = append(out, event{kind: crash, node: i})
		}
		if s.remaining.DisksLost > 0 && slices.Contains(s.scenario.DisksLost, n.addr) {
			out = append(out, event{kind: loseDisk, node: i})
		}
		if s.remaining.Timeouts > 0 && n.memory.Phase == consensus.PhaseEstablished {
			out = append(out, event{kind: timeout, node: i})
		}
	}
	out = append(out, s.readEvents()...)
	for i, command := range s.scenario.Commands {
		ready := !command.AfterDiskLoss || s.drawnIDs > 0
		if s.openCommands&(1<<i) != 0 && ready && s.nodes[command.Node].memory.Phase == consensus.PhaseEstablished {
			out = append(out, event{kind: submit, node: command.Node, index: i})
		}
	}
	return out
}

// readEvents lists what may happen next of a quorum read.
func (s *state) readEvents() (out []event) {
	for i, n := range s.nodes {
		if !s.read.active && s.remaining.QuorumReads > 0 && n.memory.Phase == consensus.PhaseEstablished {
			out = append(out, event{kind: beginQuorumRead, node: i})
		}
		if s.read.active && s.read.answered&(1<<i) == 0 {
			out = append(out, event{kind: answerQuorumRead, node: i})
		}
	}
	return out
}

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
		n.disk.Self, n.disk.Phase, n.disk.Promised, n.disk.Members = acceptor.Self, acceptor.Phase, acceptor.Promised, acceptor.Members
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

// recordProposal checks a proposal: a term has one proposer, and a position one state.
func (s *state) recordProposal(at int, message consensus.Message) {
	if message.Type == consensus.MsgCommit {
		s.recordCommit(message.Position.Revision, message.State)
	}
	if message.Type != consensus.MsgAccept {
		return
	}
	new := proposal{position: message.Position, node: at, state: stateDigest(message.State)}
	for _, other := range s.proposals {
		if other.position.Term == new.position.Term && other.node != new.node {
			s.violate("two proposers propose in term %d", new.position.Term)
		}
		if other.position == new.position && other.state != new.state {
			s.violate("two states at position %v", new.position)
		}
	}
	if !slices.Contains(s.proposals, new) {
		s.proposals = append(slices.Clone(s.proposals), new)
		slices.SortFunc(s.proposals, func(a, message proposal) int { return a.position.Compare(message.position) })
	}
}

// stateDigest is the digest of a control state.
func stateDigest(w config.ControlState) digest { return digestOf(consensus.AppendControlState(nil, w)) }

// recordIfCommitted records the state of an acceptor if that takes it for committed.
func (s *state) recordIfCommitted(acceptor consensus.Acceptor) {
	if acceptor.Committed != 0 && acceptor.Committed == acceptor.Position.Revision {
		s.recordCommit(acceptor.Committed, acceptor.State)
	}
}

// recordCommit checks and records a state that a node takes for committed: there is one for each
// revision.
func (s *state) recordCommit(revision uint64, controlState config.ControlState) {
	digest := stateDigest(controlState)
	old, ok := s.committed[revision]
	switch {
	case ok && old != digest:
		s.violate("two states are committed as revision %d", revision)
	case !ok:
		s.committed = maps.Clone(s.committed)
		s.committed[revision] = digest
	}
}

// recordResult checks and records the result of a command.
func (s *state) recordResult(result consensus.CommandResult) {
	command := s.scenario.Commands[result.ID-1]
	s.results = append(s.results, command.Name+" "+string(result.Outcome))
	if result.Outcome != consensus.OutcomeCommitted {
		if command.Generation != 0 && result.Outcome == consensus.OutcomeConflict {
			return
		}
		for _, other := range s.acknowledged {
			if command.Generation != 0 && other.generation == command.Generation && other.digest == command.Text {
				s.violate("generation %d with %q was acknowledged, and its repeat is answered %s", other.generation, other.digest, result.Outcome)
			}
		}
		return
	}
	s.recordCommit(result.State.Revision, result.State)
	ack := acknowledgement{generation: command.Generation, revision: result.State.Revision, digest: command.Text}
	for _, other := range s.acknowledged {
		if ack.generation != 0 && other.generation == ack.generation && other.digest != ack.digest {
			s.violate("generation %d is acknowledged with %q and with %q", ack.generation, other.digest, ack.digest)
		}
	}
	if command.Generation != 0 && result.State.Generation == command.Generation && !bytes.Equal(result.State.Configuration, []byte(command.Text)) {
		s.violate("generation %d with %q is acknowledged, and %q is in force", command.Generation, command.Text, result.State.Configuration)
	}
	s.acknowledged = append(slices.Clone(s.acknowledged), ack)
	slices.SortFunc(s.acknowledged, func(result, b acknowledgement) int {
		return bytes.Compare([]byte(fmt.Sprint(result)), []byte(fmt.Sprint(b)))
	})
}

// violate records the first violation.
func (s *state) violate(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}
