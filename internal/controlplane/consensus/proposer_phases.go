package consensus

import (
	"slices"
	"time"

	"curlewwalk/internal/config"
)

// advance processes the queued commands until one of them has to wait for replies of the
// acceptors.
func (p *Proposer) advance(now time.Duration) (ready []Ready) {
	for p.phase == proposerIdle && len(p.commands) > 0 {
		if p.term == 0 {
			return append(ready, p.prepare(now)...)
		}
		p.commands.prioritizeHighestGeneration()
		command := &p.commands[0]
		result, resolved := p.resolve(*command)
		switch {
		case resolved && p.mayBeStale(*command, result.Outcome):
			p.term = 0 // the next iteration prepares a new term
		case resolved:
			p.commands.pop()
			ready = append(ready, Ready{Result: &result})
		default:
			ready = append(ready, p.propose(command, now)...)
		}
	}
	return ready
}

// prepare starts the prepare phase of a new term if the backoff has elapsed.
func (p *Proposer) prepare(now time.Duration) []Ready {
	if now < p.backoffUntil {
		return nil
	}
	p.term = nextTerm(p.highestTerm, p.self.MemberID, p.staticSize)
	p.termStarted = now
	return p.startPhase(proposerPreparing, now)
}

// resolve returns the result of a command that needs no write, and reports whether the command
// is such.
func (p *Proposer) resolve(command Command) (result CommandResult, resolved bool) {
	result, resolved = resolveReconfiguration(p.base.state, p.memberSetsOf(p.base.state).Current, command)
	if resolved {
		return result, true
	}
	return resolveWithoutWrite(p.base.state, command)
}

// mayBeStale reports whether an outcome cannot be returned yet because the base may have been
// superseded under a later term. Only a term that was started after the command was enqueued
// proves that the base is the newest state.
func (p *Proposer) mayBeStale(command Command, outcome Outcome) bool {
	needsNewest := command.Kind == CommandRefresh || outcome == OutcomeMismatch || outcome == OutcomeRejected
	return needsNewest && p.termStarted < command.enqueuedAt
}

// propose sends the state that results from applying the first command to the base.
func (p *Proposer) propose(command *Command, now time.Duration) []Ready {
	next := applyReconfiguration(applyCommand(p.base.state, *command), p.memberSetsOf(p.base.state).Current, *command)
	p.proposal = proposal{stateSnapshot{Position{Term: p.term, Revision: p.base.state.Revision + 1}, next}, true}
	if command.Kind == CommandReconfigure {
		// A reconfiguration that its member sets cannot commit would block all later commands.
		// The members that it needs, in particular the joining one, must therefore answer a
		// probe first.
		return p.startPhase(proposerProbing, now)
	}
	command.proposedAt = p.proposal.position
	return p.startPhase(proposerAccepting, now)
}

// expects reports whether a reply answers the message of the current phase.
func (p *Proposer) expects(reply Reply) bool {
	if reply.Term != p.term {
		return false
	}
	switch p.phase {
	case proposerPreparing, proposerProbing:
		return reply.Type == MsgPrepare
	case proposerAccepting:
		// A late grant may belong to an earlier proposal of this term.
		return reply.Type == MsgAccept && (!reply.Granted || reply.Position == p.proposal.position)
	}
	return false
}

// hasQuorum reports whether replies suffice to end the current phase.
func (p *Proposer) hasQuorum(replies map[int]Reply) bool {
	// The promise must be on the local disk first. Otherwise a restarted proposer could use the
	// same term again. (DESIGN 6.3)
	if _, self := replies[p.self.MemberID]; !self {
		return false
	}
	return p.decidingSets(replies).HasQuorum(replies)
}

// decidingSets returns the member sets whose majorities end the current phase. In the prepare
// phase these are the sets of the highest state among the replies, later those of the proposal.
func (p *Proposer) decidingSets(replies map[int]Reply) MemberSets {
	if p.phase == proposerPreparing {
		_, sets := HighestReply(replies, p.memberSets)
		return sets
	}
	return p.memberSetsOf(p.proposal.state)
}

// handleRejection processes a reply from an acceptor that has promised a higher term. The
// proposer keeps its term as long as the proposal can be committed without the rejecting
// acceptors. A replica that returns from a partition with a promise that no other acceptor gave
// therefore does not force a new term. (DESIGN 6.3)
func (p *Proposer) handleRejection(reply Reply, now time.Duration) {
	rejections := p.exchange.rejections
	rejections[reply.Sender.MemberID] = reply
	_, self := rejections[p.self.MemberID]
	if p.phase != proposerAccepting || self || !p.memberSetsOf(p.proposal.state).quorumReachable(rejections) {
		p.abandonTerm(now)
	}
}

// handleProbed proposes a reconfiguration once the members that it needs, including the joining
// one, have answered the probe.
func (p *Proposer) handleProbed(replies map[int]Reply, now time.Duration) []Ready {
	command := &p.commands[0]
	joining := command.Joining
	if joining.MemberID != 0 && !containsSender([]config.Member{joining}, replies[joining.MemberID].Sender) {
		return nil
	}
	command.proposedAt = p.proposal.position
	return p.startPhase(proposerAccepting, now)
}

// handlePrepared proposes the highest state among the replies again under the new term, which a
// majority has promised. This completes any proposal that an earlier term left unfinished.
func (p *Proposer) handlePrepared(replies map[int]Reply, now time.Duration) []Ready {
	p.base = stateSnapshot{}
	for _, reply := range replies {
		if p.base.position.Compare(reply.Position) < 0 {
			p.base = stateSnapshot{reply.Position, reply.State}
		}
	}
	if p.base.position == (Position{}) {
		p.phase = proposerIdle
		return p.advance(now)
	}
	position := Position{Term: p.term, Revision: p.base.position.Revision}
	p.proposal = proposal{stateSnapshot{position, p.base.state}, false}
	return p.startPhase(proposerAccepting, now)
}

// handleCommitted announces the commit of the proposal that a majority has accepted, and
// continues with the next proposal.
func (p *Proposer) handleCommitted(now time.Duration) []Ready {
	p.base = p.proposal.stateSnapshot
	p.phase = proposerIdle
	commit := &Message{Sender: p.self, Type: MsgCommit, Term: p.term, Position: p.base.position, State: p.base.state}
	ready := []Ready{{Message: commit, To: unionMembers(p.exchange.recipients, p.memberSets.Union())}}
	if p.proposal.forCommand {
		first := p.commands.pop()
		ready = append(ready, Ready{Result: &CommandResult{ID: first.ID, Outcome: OutcomeCommitted, State: p.base.state}})
	}
	if len(p.proposal.state.PreviousMembers) > 0 {
		// Majorities of both member sets are needed until the next state is committed, so that
		// state is proposed immediately.
		p.proposal.position.Revision++
		p.proposal.state, p.proposal.forCommand = finalizeReconfiguration(p.proposal.state), false
		return append(ready, p.startPhase(proposerAccepting, now)...)
	}
	return append(ready, p.advance(now)...)
}

// abandonTerm abandons the current term. No new term is prepared until a backoff has elapsed,
// which differs between the members.
func (p *Proposer) abandonTerm(now time.Duration) {
	p.phase, p.term = proposerIdle, 0
	rank := 1
	for _, m := range p.memberSets.Current {
		if m.MemberID < p.self.MemberID {
			rank++
		}
	}
	p.backoffUntil = now + termBackoff*time.Duration(rank)
}

// startPhase starts a phase and sends its message to all members that it needs.
func (p *Proposer) startPhase(phase proposerPhase, now time.Duration) []Ready {
	members := p.memberSets
	if phase != proposerPreparing {
		members = p.memberSetsOf(p.proposal.state)
	}
	p.phase = phase
	p.exchange = phaseExchange{
		recipients: unionMembers(members.Union(), p.unlistedSelf()), startedAt: now,
		grants: map[int]Reply{}, rejections: map[int]Reply{},
	}
	return p.broadcast(now)
}

// unlistedSelf returns the local acceptor as a member if no member set includes it. The
// acceptor is sent the message of each phase in any case, since hasQuorum requires its reply.
func (p *Proposer) unlistedSelf() []config.Member {
	if containsSender(p.memberSets.Union(), p.self) {
		return nil
	}
	return []config.Member{{MemberID: p.self.MemberID, DiskID: p.self.DiskID}}
}

// memberSetsOf returns the member sets that a state puts into effect.
func (p *Proposer) memberSetsOf(state config.ControlState) MemberSets {
	return Acceptor{State: state, StaticSize: p.staticSize, InitialMembers: p.initialMembers}.MemberSets()
}

// extendRecipients sends the message of the prepare phase to members of a reply's member sets
// that have not been sent it.
func (p *Proposer) extendRecipients(learned []config.Member) []Ready {
	more := slices.DeleteFunc(learned, func(m config.Member) bool { return containsMember(p.exchange.recipients, m) })
	if p.phase != proposerPreparing || len(more) == 0 {
		return nil
	}
	p.exchange.recipients = unionMembers(p.exchange.recipients, more)
	return []Ready{{Message: p.message(), To: more}}
}

// broadcast sends the message of the phase to all recipients that have not granted it.
func (p *Proposer) broadcast(now time.Duration) []Ready {
	p.exchange.lastSent = now
	to := slices.DeleteFunc(slices.Clone(p.exchange.recipients), func(m config.Member) bool {
		_, granted := p.exchange.grants[m.MemberID]
		return granted
	})
	return []Ready{{Message: p.message(), To: to}}
}

// message returns the message of the current phase.
func (p *Proposer) message() *Message {
	message := &Message{Sender: p.self, Type: MsgPrepare, Term: p.term}
	switch p.phase {
	case proposerAccepting:
		message.Type, message.Position, message.State = MsgAccept, p.proposal.position, p.proposal.state
	case proposerProbing:
		// The probe is a repeated prepare message that carries the position and the member sets
		// of the reconfiguration. Acceptors ignore them; tests/simulation and tests/modelcheck
		// read them.
		message.Position = p.proposal.position
		message.State.Members, message.State.PreviousMembers = p.proposal.state.Members, p.proposal.state.PreviousMembers
	}
	return message
}
