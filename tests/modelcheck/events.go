package modelcheck

import (
	"fmt"
	"slices"

	"curlewwalk/internal/controlplane/consensus"
)

// eventKind is the kind of an event.
type eventKind string

// The kinds of event.
const (
	deliver            eventKind = "deliver"
	deliverTwice       eventKind = "deliver and keep"
	crashBetweenWrites eventKind = "deliver, crash between the two disk writes"
	crash              eventKind = "crash"
	loseDisk           eventKind = "lose disk"
	timeout            eventKind = "timeout"
	submit             eventKind = "submit command"
	beginQuorumRead    eventKind = "begin quorum read"
	answerQuorumRead   eventKind = "reply to quorum read"
)

// event is a possible transition from one state to the next.
type event struct {
	kind    eventKind
	node    int
	index   int      // index of the message or the command
	message *message // the delivered message
}

// String returns a description of the event.
func (e event) String() string {
	out := fmt.Sprintf("%s: node %d", e.kind, e.node+1)
	if e.message != nil {
		out += " " + e.message.String()
	}
	return out
}

// String returns a description of the message.
func (m message) String() string {
	if m.request != nil {
		return fmt.Sprintf("from %d %s term %d position %v members %v", m.from+1, m.request.Type, m.request.Term, m.request.Position, consensus.MemberIDs(m.request.State.Members))
	}
	return fmt.Sprintf("from %d reply to %s term %d ok %v promised %d accepted %v", m.from+1, m.reply.Type, m.reply.Term, m.reply.Granted, m.reply.Promised, m.reply.Position)
}

// events returns all events that are possible in the state. Message loss and network partitions
// need no events of their own: a lost message is never delivered, and a message delayed by a
// partition is delivered late.
func (s *state) events() []event {
	return slices.Concat(s.messageEvents(), s.nodeEvents(), s.readEvents(), s.commandEvents())
}

// messageEvents returns the possible events of messages in flight.
func (s *state) messageEvents() (out []event) {
	for i, m := range s.inFlight {
		out = append(out, event{kind: deliver, node: m.to, index: i, message: &s.inFlight[i]})
		if s.remaining.Duplicated > 0 {
			out = append(out, event{kind: deliverTwice, node: m.to, index: i, message: &s.inFlight[i]})
		}
		if s.remaining.Crashes > 0 && s.writesTwice(m) {
			out = append(out, event{kind: crashBetweenWrites, node: m.to, index: i, message: &s.inFlight[i]})
		}
	}
	return out
}

// writesTwice reports whether the receiver of a message writes both its accepted state and its
// promise to disk.
func (s *state) writesTwice(m message) bool {
	if m.request == nil {
		return false
	}
	next, _ := s.nodes[m.to].memory.Step(*m.request)
	return next.StateDirty && next.PromiseDirty
}

// nodeEvents returns the possible events of nodes.
func (s *state) nodeEvents() (out []event) {
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
	return out
}

// commandEvents returns the possible submissions of commands.
func (s *state) commandEvents() (out []event) {
	for i, command := range s.scenario.Commands {
		ready := !command.AfterDiskLoss || s.generatedIDs > 0
		if s.openCommands&(1<<i) != 0 && ready && s.nodes[command.Node].memory.Phase == consensus.PhaseEstablished {
			out = append(out, event{kind: submit, node: command.Node, index: i})
		}
	}
	return out
}

// readEvents returns the possible events of quorum reads.
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
