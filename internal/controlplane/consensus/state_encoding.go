package consensus

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/config"
)

// The methods in this file let tests/modelcheck compare states. They provide deep copies and
// canonical encodings. Two states with the same encoding have the same future behavior.
// (DESIGN 14.9)

// Clone returns a copy of the proposer that shares no mutable state with it.
func (p *Proposer) Clone() *Proposer {
	out := *p
	out.commands = slices.Clone(p.commands)
	out.exchange.grants, out.exchange.rejections = maps.Clone(p.exchange.grants), maps.Clone(p.exchange.rejections)
	return &out
}

// AppendState appends an encoding of the proposer. Between the calls of its methods, the time
// must either stay the same or advance far beyond all of its timeouts, as in tests/modelcheck.
// Times are encoded only as far as they matter then.
func (p *Proposer) AppendState(b []byte, now time.Duration) []byte {
	b = appendSender(b, p.self)
	b = appendMembers(b, p.initialMembers)
	b = appendMemberSets(b, p.memberSets)
	b = appendMembers(b, p.exchange.recipients)
	b = appendNumbers(b, uint64(p.phase), p.term, p.highestTerm)
	b = appendPosition(b, p.proposal.position)
	b = AppendControlState(b, p.proposal.state)
	b = appendPosition(b, p.base.position)
	b = AppendControlState(b, p.base.state)
	b = appendFlags(b, p.proposal.forCommand, now < p.backoffUntil)
	b = appendNumbers(b, uint64(len(p.commands)))
	for _, command := range p.commands {
		b = appendNumbers(b, command.ID)
		b = appendPosition(b, command.proposedAt)
		b = appendFlags(b, p.termStarted < command.enqueuedAt)
	}
	if p.phase == proposerIdle {
		return b // replies of a finished phase have no effect
	}
	return appendReplies(appendReplies(b, p.exchange.grants), p.exchange.rejections)
}

func appendReplies(b []byte, replies map[int]Reply) []byte {
	b = appendNumbers(b, uint64(len(replies)))
	for _, memberID := range slices.Sorted(maps.Keys(replies)) {
		b = appendNumbers(b, uint64(memberID))
		b = replies[memberID].AppendState(b)
	}
	return b
}

// AppendState appends an encoding of the acceptor.
func (a Acceptor) AppendState(b []byte) []byte {
	b = appendSender(b, a.Self)
	b = append(b, a.Phase...)
	b = appendMembers(b, a.InitialMembers)
	b = appendNumbers(b, uint64(a.StaticSize), a.Promised, a.Committed)
	b = appendPosition(b, a.Position)
	b = AppendControlState(b, a.State)
	return appendMemberRecords(b, a.MemberRecords)
}

// AppendState appends an encoding of the reply.
func (r Reply) AppendState(b []byte) []byte {
	b = appendSender(b, r.Sender)
	b = append(b, r.Type...)
	b = append(b, r.Phase...)
	b = appendFlags(b, r.Granted)
	b = appendNumbers(b, r.Term, r.Promised, r.Committed)
	b = appendPosition(b, r.Position)
	b = AppendControlState(b, r.State)
	b = appendMemberRecords(b, r.MemberRecords)
	return appendMemberSets(b, r.MemberSets)
}

// AppendState appends an encoding of the message.
func (m Message) AppendState(b []byte) []byte {
	b = appendSender(b, m.Sender)
	b = append(b, m.Type...)
	b = appendNumbers(b, m.Term)
	b = appendPosition(b, m.Position)
	return AppendControlState(b, m.State)
}

// AppendControlState appends an encoding of the parts of a state that commands on
// configurations and member sets change. The commands of tests/modelcheck change no other
// parts.
func AppendControlState(b []byte, state config.ControlState) []byte {
	b = appendNumbers(b, state.Revision, state.ConfigurationRevision, state.Generation, uint64(state.HighestMemberID), uint64(len(state.Configuration)), uint64(len(state.AcceptedGenerations)))
	b = append(b, state.Configuration...)
	for _, accepted := range state.AcceptedGenerations {
		b = appendNumbers(b, accepted.Generation, uint64(len(accepted.Digest)))
		b = append(b, accepted.Digest...)
	}
	b = appendMembers(b, state.Members)
	return appendMembers(b, state.PreviousMembers)
}

func appendNumbers(b []byte, ns ...uint64) []byte {
	for _, n := range ns {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

func appendFlags(b []byte, flags ...bool) []byte {
	for _, f := range flags {
		n := byte(0)
		if f {
			n = 1
		}
		b = append(b, n)
	}
	return b
}

func appendPosition(b []byte, position Position) []byte {
	return appendNumbers(b, position.Term, position.Revision)
}

func appendSender(b []byte, sender Sender) []byte {
	return appendNumbers(b, uint64(sender.MemberID), sender.Incarnation, sender.DiskID)
}

func appendMembers(b []byte, members []config.Member) []byte {
	b = appendNumbers(b, uint64(len(members)))
	for _, m := range members {
		b = appendNumbers(b, uint64(m.MemberID), m.DiskID)
	}
	return b
}

func appendMemberSets(b []byte, s MemberSets) []byte {
	return appendMembers(appendMembers(b, s.Current), s.Previous)
}

func appendMemberRecords(b []byte, records map[int]MemberRecord) []byte {
	b = appendNumbers(b, uint64(len(records)))
	for _, memberID := range slices.Sorted(maps.Keys(records)) {
		b = appendNumbers(b, uint64(memberID), records[memberID].Incarnation, records[memberID].DiskID)
	}
	return b
}

// HoldsTerm reports whether the proposer is active under a term.
func (p *Proposer) HoldsTerm(term uint64) bool { return p.phase != proposerIdle && p.term == term }

// CanAffect reports whether a reply can still change the behavior of the proposer. That is the
// case if the reply has a higher term, belongs to the current phase, or belongs to a phase that
// a reconfiguration may start again under the same term.
func (p *Proposer) CanAffect(reply Reply) bool {
	if len(p.commands) == 0 && (p.phase == proposerIdle || p.proposal.forCommand) {
		return false
	}
	if reply.Promised > p.highestTerm {
		return true
	}
	if p.term == 0 || reply.Term != p.term {
		return false
	}
	reconfigures := slices.ContainsFunc(p.commands, func(command Command) bool { return command.Kind == CommandReconfigure })
	switch reply.Type {
	case MsgPrepare:
		return p.phase == proposerPreparing || reconfigures
	case MsgAccept:
		return p.phase == proposerAccepting && (!reply.Granted || reply.Position == p.proposal.position)
	}
	return false
}
