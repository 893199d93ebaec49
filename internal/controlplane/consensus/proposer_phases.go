package consensus

import (
	"slices"
	"time"

	"curlewwalk/internal/config"
)

// advance goes on with the queued commands until one of them needs replies of the acceptors.
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
			p.term = 0 // the next round of the loop prepares a new one
		case resolved:
			p.commands.pop()
			ready = append(ready, Ready{Result: &result})
		default:
			ready = append(ready, p.propose(command, now)...)
		}
	}
	return ready
}

// prepare asks for a new term, once the backoff is over.
func (p *Proposer) prepare(now time.Duration) []Ready {
	if now < p.backoffUntil {
		return nil
	}
	p.term = nextTerm(p.highestTerm, p.self.MemberID, p.staticSize)
	p.termStarted = now
	return p.startPhase(proposerPreparing, now)
}

// resolve ends a command that needs no write.
func (p *Proposer) resolve(command Command) (result CommandResult, resolved bool) {
	result, resolved = resolveReconfiguration(p.base.state, p.memberSetsOf(p.base.state).Current, command)
	if resolved {
		return result, true
	}
	return resolveWithoutWrite(p.base.state, command)
}

// mayBeStale reports whether an outcome can't be given yet, since the base may have been
// superseded under a later term: only a term that was started after the command came proves
// the base to be the newest state.
func (p *Proposer) mayBeStale(command Command, outcome Outcome) bool {
	needsNewest := command.Kind == CommandRefresh || outcome == OutcomeMismatch || outcome == OutcomeRejected
	return needsNewest && p.termStarted < command.enqueuedAt
}

// propose asks the acceptors for what the first command makes of the base.
func (p *Proposer) propose(command *Command, now time.Duration) []Ready {
	next := applyReconfiguration(applyCommand(p.base.state, *command), p.memberSetsOf(p.base.state).Current, *command)
	p.proposal = proposal{stateSnapshot{Position{Term: p.term, Revision: p.base.state.Revision + 1}, next}, true}
	if command.Kind == CommandReconfigure {
		// A reconfiguration that its member sets can't commit would hold up all commands
		// after it: the members needed for it must answer first, the joining one above all.
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
		// A late grant may be for an earlier proposal of this term.
		return reply.Type == MsgAccept && (!reply.Granted || reply.Position == p.proposal.position)
	}
	return false
}

// hasQuorum reports whether replies are enough to end the current phase.
func (p *Proposer) hasQuorum(replies map[int]Reply) bool {
	// The local promise must be on disk first: it keeps a restarted proposer from
	// taking the same term again. (DESIGN 6.3)
	if _, self := replies[p.self.MemberID]; !self {
		return false
	}
	return p.decidingSets(replies).HasQuorum(replies)
}

// decidingSets are the member sets whose majorities end the current phase: while a term is being
// prepared those of the highest state among the replies, after that those of the proposal.
func (p *Proposer) decidingSets(replies map[int]Reply) MemberSets {
	if p.phase == proposerPreparing {
		_, sets := HighestReply(replies, p.memberSets)
		return sets
	}
	return p.memberSetsOf(p.proposal.state)
}

// handleRejection takes a reply that has promised a higher term. While the proposal can still
// be committed without that acceptor, the proposer goes on under its own term: a replica that
// was partitioned off with a promise that no other acceptor gave does not force a new term
// when it comes back. (DESIGN 6.3)
func (p *Proposer) handleRejection(reply Reply, now time.Duration) {
	rejections := p.exchange.rejections
	rejections[reply.Sender.MemberID] = reply
	_, self := rejections[p.self.MemberID]
	if p.phase != proposerAccepting || self || !p.memberSetsOf(p.proposal.state).quorumReachable(rejections) {
		p.abandonTerm(now)
	}
}

// handleProbed begins to propose a reconfiguration once the members that it needs have answered,
// the joining one among them.
func (p *Proposer) handleProbed(replies map[int]Reply, now time.Duration) []Ready {
	command := &p.commands[0]
	joining := command.Joining
	if joining.MemberID != 0 && !containsSender([]config.Member{joining}, replies[joining.MemberID].Sender) {
		return nil
	}
	command.proposedAt = p.proposal.position
	return p.startPhase(proposerAccepting, now)
}

// handlePrepared goes on once a majority has promised the term: the highest state among the
// replies is proposed again under this term, which finishes whatever was left unfinished.
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

// handleCommitted goes on once a majority has accepted the proposal.
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
		// Until the next state is committed, majorities of both sets are needed: it is
		// written at once.
		p.proposal.position.Revision++
		p.proposal.state, p.proposal.forCommand = finalizeReconfiguration(p.proposal.state), false
		return append(ready, p.startPhase(proposerAccepting, now)...)
	}
	return append(ready, p.advance(now)...)
}

// abandonTerm gives the term up, and asks for no other one until a backoff is over that
// differs from one member to the next.
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

// startPhase begins a phase and sends its message to all members that it needs.
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

// unlistedSelf is the local acceptor as a member, if no member set names it.
func (p *Proposer) unlistedSelf() []config.Member {
	if containsSender(p.memberSets.Union(), p.self) {
		return nil
	}
	return []config.Member{{MemberID: p.self.MemberID, DiskID: p.self.DiskID}}
}

// memberSetsOf are the member sets that a state puts in force.
func (p *Proposer) memberSetsOf(state config.ControlState) MemberSets {
	return Acceptor{State: state, StaticSize: p.staticSize, InitialMembers: p.initialMembers}.MemberSets()
}

// extendRecipients sends the message of the phase to members that a reply has named as well.
func (p *Proposer) extendRecipients(learned []config.Member) []Ready {
	more := slices.DeleteFunc(learned, func(m config.Member) bool { return containsMember(p.exchange.recipients, m) })
	if p.phase != proposerPreparing || len(more) == 0 {
		return nil
	}
	p.exchange.recipients = unionMembers(p.exchange.recipients, more)
	return []Ready{{Message: p.message(), To: more}}
}

// broadcast sends the message of the phase to every recipient that has not granted it.
func (p *Proposer) broadcast(now time.Duration) []Ready {
	p.exchange.lastSent = now
	to := slices.DeleteFunc(slices.Clone(p.exchange.recipients), func(m config.Member) bool {
		_, granted := p.exchange.grants[m.MemberID]
		return granted
	})
	return []Ready{{Message: p.message(), To: to}}
}

// message is the message of the current phase.
func (p *Proposer) message() *Message {
	message := &Message{Sender: p.self, Type: MsgPrepare, Term: p.term}
	switch p.phase {
	case proposerAccepting:
		message.Type, message.Position, message.State = MsgAccept, p.proposal.position, p.proposal.state
	case proposerProbing:
		// A promise again, which names the reconfiguration that it is for.
		message.Position = p.proposal.position
		message.State.Members, message.State.PreviousMembers = p.proposal.state.Members, p.proposal.state.PreviousMembers
	}
	return message
}
