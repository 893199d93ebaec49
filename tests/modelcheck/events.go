package modelcheck

import (
	"fmt"
	"slices"

	"curlewwalk/internal/controlplane/consensus"
)

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
func (s *state) events() []event {
	return slices.Concat(s.messageEvents(), s.nodeEvents(), s.readEvents(), s.commandEvents())
}

// messageEvents lists what may happen next to messages in flight.
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

// nodeEvents lists what may happen next to nodes.
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

// commandEvents lists the commands that may be submitted next.
func (s *state) commandEvents() (out []event) {
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
