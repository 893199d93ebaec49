package consensus

import (
	"bytes"
	"slices"
	"time"

	"curlewwalk/internal/config"
)

const (
	resendAfter = 250 * time.Millisecond // (ours)
	termBackoff = 100 * time.Millisecond // (ours)
	// probeTimeout is how long those that a changed set needs may take to answer; other
	// orders wait meanwhile.
	probeTimeout = 500 * time.Millisecond // (ours)
	// finishTimeout is how long a proposal that no order waits for may take, such as the
	// one that ends a change of the set.
	finishTimeout = time.Second // (ours)
)

type proposerPhase int

const (
	proposerIdle proposerPhase = iota
	proposerPreparing
	proposerAccepting
	proposerProbing // whether what a changed set needs is there
)

// Proposer writes the word on behalf of the duty core, one order at a time, under
// an epoch that a majority has promised to. (DESIGN 6.3)
type Proposer struct {
	Self       Sender
	StaticSize int

	initialMembers []config.Member
	memberSets     MemberSets // of the own acceptor
	recipients     []config.Member
	phaseStarted   time.Duration // when this round of votes was
	phase          proposerPhase
	term           uint64 // zero: none held
	highestTerm    uint64 // the highest epoch heard of
	position       Position
	state          config.ControlState
	basePosition   Position
	baseState      config.ControlState
	forCommand     bool // the proposal is the first order's, not a half-done one's
	commands       []Command
	grants         map[int]Reply
	rejections     map[int]Reply // of this round, for another epoch
	lastSent       time.Duration
	backoffUntil   time.Duration // no new epoch before this
	termStarted    time.Duration // when the epoch was asked for
}

// Enqueue queues an order.
func (p *Proposer) Enqueue(command Command, now time.Duration) []Ready {
	command.enqueuedAt = now
	if command.Kind == CommandPutConfiguration && command.Generation != 0 && command.Digest == nil {
		command.Digest = config.SubmissionDigest(command.Submitted, command.Payload)
	}
	p.commands = append(p.commands, command)
	return p.advance(now)
}

// HandleReply takes a vote.
func (p *Proposer) HandleReply(reply Reply, now time.Duration) []Ready {
	p.highestTerm = max(p.highestTerm, reply.Promised)
	if p.phase == proposerIdle || reply.Term != p.term || (p.phase == proposerPreparing || p.phase == proposerProbing) != (reply.Type == MsgPrepare) || (p.phase == proposerAccepting) != (reply.Type == MsgAccept) {
		return nil
	}
	if p.phase == proposerAccepting && reply.Granted && reply.Position != p.position {
		return nil // a late vote for an earlier word of this epoch
	}
	if !reply.Granted {
		if reply.Promised > p.term {
			p.handleRejection(reply, now)
		}
		return nil
	}
	p.grants[reply.Sender.MemberID] = reply
	replies := CurrentReplies(p.grants)
	// The own promise must be on disk first: it keeps a restarted proposer from
	// taking the same epoch again. (DESIGN 6.3)
	_, self := replies[p.Self.MemberID]
	sets := p.memberSetsOf(p.state)
	if p.phase == proposerPreparing {
		_, sets = HighestReply(replies, p.memberSets)
	}
	switch {
	case !self || !sets.HasQuorum(replies):
		return p.extendRecipients(reply.MemberSets.Union())
	case p.phase == proposerProbing:
		if s := p.commands[0].Joining; s.MemberID != 0 && !containsSender([]config.Member{s}, replies[s.MemberID].Sender) {
			return nil
		}
		p.commands[0].proposedAt = p.position
		return p.startPhase(proposerAccepting, now)
	case p.phase == proposerPreparing:
		return p.handlePrepared(replies, now)
	}
	return p.handleCommitted(now)
}

// handleRejection takes a vote for a higher epoch. While a proposal can still be settled without
// that acceptor, the proposer goes on under its own: a core that was cut off with a promise
// that nobody else gave comes back without a new epoch. (DESIGN 6.3)
func (p *Proposer) handleRejection(reply Reply, now time.Duration) {
	p.rejections[reply.Sender.MemberID] = reply
	_, self := p.rejections[p.Self.MemberID]
	if p.phase != proposerAccepting || self || !p.memberSetsOf(p.state).quorumReachable(p.rejections) {
		p.abandonTerm(now)
	}
}

// Tick lets time pass.
func (p *Proposer) Tick(now time.Duration) []Ready {
	var out []Ready
	for i := 0; i < len(p.commands); i++ {
		command := p.commands[i]
		if now < command.Deadline {
			continue
		}
		outcome := OutcomeRejected
		if command.proposedAt != (Position{}) {
			outcome = OutcomeUnknown
			if i == 0 && p.phase == proposerAccepting && p.forCommand {
				p.abandonTerm(now) // the half-done word is found or superseded by the next epoch
			}
		}
		if p.phase == proposerProbing && i == 0 {
			p.phase = proposerIdle // nobody has its word
		}
		out = append(out, Ready{Result: &CommandResult{ID: command.ID, Outcome: outcome}})
		p.commands = slices.Delete(p.commands, i, i+1)
		i--
	}
	if p.phase == proposerProbing && now-p.phaseStarted >= probeTimeout {
		out = append(out, Ready{Result: &CommandResult{ID: p.commands[0].ID, Outcome: OutcomeRejected}})
		p.commands = p.commands[1:]
		p.abandonTerm(now)
	}
	finishing := p.phase == proposerAccepting && !p.forCommand && now-p.phaseStarted < finishTimeout
	if p.phase != proposerIdle && len(p.commands) == 0 && !finishing {
		p.abandonTerm(now)
	}
	if p.phase != proposerIdle && now-p.lastSent >= resendAfter {
		if len(p.rejections) > 0 {
			p.abandonTerm(now) // it has to be majorities without them, and those don't answer
		} else {
			out = append(out, p.broadcast(now)...)
		}
	}
	return append(out, p.advance(now)...)
}

// RejectUnproposed ends the orders that were not proposed: they surely never will be by this
// proposer, and another core may take them.
func (p *Proposer) RejectUnproposed() (out []Ready) {
	var kept []Command
	for i, command := range p.commands {
		if command.proposedAt != (Position{}) {
			kept = append(kept, command)
			continue
		}
		if i == 0 && p.phase == proposerProbing {
			p.phase = proposerIdle // nobody has its word
		}
		out = append(out, Ready{Result: &CommandResult{ID: command.ID, Outcome: OutcomeRejected}})
	}
	p.commands = kept
	return out
}

func (p *Proposer) abandonTerm(now time.Duration) {
	p.phase, p.term = proposerIdle, 0
	position := 1
	for _, m := range p.memberSets.Current {
		if m.MemberID < p.Self.MemberID {
			position++
		}
	}
	p.backoffUntil = now + termBackoff*time.Duration(position)
}

func (p *Proposer) advance(now time.Duration) []Ready {
	var out []Ready
	for p.phase == proposerIdle && len(p.commands) > 0 {
		if p.term == 0 {
			if now < p.backoffUntil {
				return out
			}
			p.term = nextTerm(p.highestTerm, p.Self.MemberID, p.StaticSize)
			p.termStarted = now
			return append(out, p.startPhase(proposerPreparing, now)...)
		}
		p.prioritizeHighestGeneration()
		command := &p.commands[0]
		result, done := resolveReconfiguration(p.baseState, p.memberSetsOf(p.baseState).Current, *command)
		if !done {
			result, done = p.resolveWithoutWrite(*command)
		}
		if done {
			if p.termStarted < command.enqueuedAt && (command.Kind == CommandRefresh || result.Outcome == OutcomeMismatch || result.Outcome == OutcomeRejected) {
				// What is held may have been overtaken under a later epoch: only
				// an epoch begun since the order came proves it the newest.
				p.term = 0
				continue
			}
			p.commands = p.commands[1:]
			out = append(out, Ready{Result: &result})
			continue
		}
		p.position, p.state, p.forCommand = Position{Term: p.term, Revision: p.baseState.Revision + 1}, applyReconfiguration(applyCommand(p.baseState, *command), p.memberSetsOf(p.baseState).Current, *command), true
		if command.Kind == CommandReconfigure {
			// A change that its sets can't settle would hold up all that comes after: who
			// is needed for it must be there, the newcomer above all.
			return append(out, p.startPhase(proposerProbing, now)...)
		}
		command.proposedAt = p.position
		out = append(out, p.startPhase(proposerAccepting, now)...)
	}
	return out
}

// prioritizeHighestGeneration has the highest of the generations that wait go before the first, if that
// is one: once it is settled, the others need no write. Whoever gave them has no
// response yet, so any order among them is as good.
func (p *Proposer) prioritizeHighestGeneration() {
	reorderable := func(command Command) bool {
		return command.Kind == CommandPutConfiguration && command.Generation != 0 && command.IfMatch == nil
	}
	if !reorderable(p.commands[0]) {
		return
	}
	highest := 0
	for i, command := range p.commands {
		if reorderable(command) && command.Generation > p.commands[highest].Generation {
			highest = i
		}
	}
	if first := p.commands[highest]; highest > 0 {
		copy(p.commands[1:highest+1], p.commands[:highest])
		p.commands[0] = first
	}
}

// resolveWithoutWrite ends an order that needs no write.
func (p *Proposer) resolveWithoutWrite(command Command) (CommandResult, bool) {
	result := CommandResult{ID: command.ID, Outcome: OutcomeCommitted, State: p.baseState}
	if outcome, done := supersededEvacuation(p.baseState, command); done {
		result.Outcome = outcome
		return result, true
	}
	switch {
	case command.Kind == CommandRefresh:
		return result, true
	case command.Kind == CommandBeginWindow && p.baseState.HasClosure(command.Window), command.Kind == CommandEndWindow && !p.baseState.HasClosure(command.Window):
		return result, true // whoever had the duty before has seen to it
	case command.Kind == CommandPutConfiguration && command.Generation != 0 && command.Generation <= p.baseState.Generation:
		result.Outcome = repeatedGeneration(p.baseState, command)
		return result, true
	case command.Kind == CommandPutConfiguration && command.Generation != 0 && command.proposedAt.Revision != 0 && command.IfMatch == nil:
		// Generations never fall, so it was not taken, and a word under a later epoch
		// stands in its way for good: it is proposed once more.
		return result, false
	case command.SinceRevision != nil && command.proposedAt.Revision != 0 && command.IfMatch == nil:
		return result, false // it is not on record, so it was not taken, as above
	case command.proposedAt.Revision != 0 && p.baseState.Revision > command.proposedAt.Revision:
		result.Outcome = OutcomeUnknown
		return result, true
	case command.proposedAt.Revision != 0 && p.baseState.Revision == command.proposedAt.Revision && satisfies(p.baseState, command):
		return result, true
	case command.IfMatch != nil && command.Kind == CommandPutCalendar && *command.IfMatch != p.baseState.CalendarRevision,
		command.IfMatch != nil && command.Kind != CommandPutCalendar && *command.IfMatch != p.baseState.ConfigurationRevision:
		result.Outcome = OutcomeMismatch
		return result, true
	}
	return result, false
}

// repeatedGeneration is what becomes of a configuration whose number is no higher than the one
// held: the bytes that were taken under it are acknowledged again, others are refused,
// and a number that was passed over, or taken too long ago to be known, is acknowledged
// and changes nothing. What is held is settled, so no later word can tell otherwise.
// (DESIGN 6.3)
func repeatedGeneration(base config.ControlState, command Command) Outcome {
	if same, known := base.LookupGeneration(command.Generation, command.Digest); known && !same {
		return OutcomeConflict
	}
	return OutcomeCommitted
}

// supersededEvacuation ends an order on a zone if another, or this one, was taken there since
// it came. One that asked for the same makes it good as well; one that asked for the
// opposite is newer, and stays. (DESIGN 6.3)
func supersededEvacuation(base config.ControlState, command Command) (Outcome, bool) {
	conditionHolds := command.IfMatch == nil || *command.IfMatch == base.ConfigurationRevision
	if command.SinceRevision == nil || command.Kind != CommandEvacuate && command.Kind != CommandRevokeEvacuation || !conditionHolds {
		return "", false
	}
	revision, known := base.EvacuationRevision(command.Zone)
	switch {
	case revision <= *command.SinceRevision:
		return "", false
	case known && slices.Contains(base.EvacuatedByOperator, command.Zone) == (command.Kind == CommandEvacuate):
		return OutcomeCommitted, true
	}
	return OutcomeSuperseded, true
}

// satisfies tells whether a held word is what the order asked for.
func satisfies(state config.ControlState, command Command) bool {
	switch command.Kind {
	case CommandPutConfiguration:
		return state.ConfigurationRevision == state.Revision && bytes.Equal(state.Configuration, command.Payload) && (command.Generation == 0 || state.Generation == command.Generation)
	case CommandPutCalendar:
		return state.CalendarRevision == state.Revision && bytes.Equal(state.Calendar, command.Payload)
	case CommandEvacuate:
		return slices.Contains(state.EvacuatedByOperator, command.Zone)
	case CommandBeginWindow:
		return state.HasClosure(command.Window)
	case CommandEndWindow:
		return !state.HasClosure(command.Window)
	case CommandReconfigure:
		return false // judgeReseat looks at that
	}
	return !slices.Contains(state.EvacuatedZones(), command.Zone)
}

// applyCommand is the word that an order makes of the one before.
func applyCommand(state config.ControlState, command Command) config.ControlState {
	state.Revision++
	state.EvacuatedByOperator, state.Closures = slices.Clone(state.EvacuatedByOperator), slices.Clone(state.Closures)
	removeZone := func() {
		state.EvacuatedByOperator = slices.DeleteFunc(state.EvacuatedByOperator, func(l string) bool { return l == command.Zone })
	}
	switch command.Kind {
	case CommandPutConfiguration:
		state.Configuration, state.ConfigurationRevision, state.Submitted = command.Payload, state.Revision, nil
		if command.Generation != 0 {
			state.Generation, state.Submitted, state.AcceptedGenerations = command.Generation, command.Submitted, state.AppendGeneration(command.Generation, command.Digest)
		}
	case CommandPutCalendar:
		state.Calendar, state.CalendarRevision = command.Payload, state.Revision
	case CommandEvacuate:
		removeZone()
		state.EvacuatedByOperator = append(state.EvacuatedByOperator, command.Zone)
		slices.Sort(state.EvacuatedByOperator)
		state = state.WithEvacuation(command.Zone)
	case CommandRevokeEvacuation:
		removeZone()
		for i := range state.Closures {
			// It stays noted, so that it is not begun again.
			state.Closures[i].Waived = state.Closures[i].Waived || state.Closures[i].Zone == command.Zone
		}
		state = state.WithEvacuation(command.Zone)
	case CommandBeginWindow:
		state.Closures = append(state.Closures, config.ZoneClosure{Zone: command.Zone, Window: command.Window})
	case CommandEndWindow:
		state.Closures = slices.DeleteFunc(state.Closures, func(c config.ZoneClosure) bool { return c.Window == command.Window })
	}
	return state
}

// handlePrepared: a majority promised; the highest word among them is proposed again
// under the own epoch, which finishes whatever was left half done.
func (p *Proposer) handlePrepared(replies map[int]Reply, now time.Duration) []Ready {
	p.basePosition, p.baseState = Position{}, config.ControlState{}
	for _, reply := range replies {
		if p.basePosition.Compare(reply.Position) < 0 {
			p.basePosition, p.baseState = reply.Position, reply.State
		}
	}
	if p.basePosition == (Position{}) {
		p.phase = proposerIdle
		return p.advance(now)
	}
	p.position, p.state, p.forCommand = Position{Term: p.term, Revision: p.basePosition.Revision}, p.baseState, false
	return p.startPhase(proposerAccepting, now)
}

// handleCommitted: a majority holds the proposal.
func (p *Proposer) handleCommitted(now time.Duration) []Ready {
	p.basePosition, p.baseState = p.position, p.state
	p.phase = proposerIdle
	out := []Ready{{Message: &Message{Sender: p.Self, Type: MsgCommit, Term: p.term, Position: p.position, State: p.state}, To: unionMembers(p.recipients, p.memberSets.Union())}}
	if p.forCommand {
		out = append(out, Ready{Result: &CommandResult{ID: p.commands[0].ID, Outcome: OutcomeCommitted, State: p.state}})
		p.commands = p.commands[1:]
	}
	if len(p.state.PreviousMembers) > 0 {
		// Until the next word majorities of both sets are needed: it is written at once.
		p.position.Revision++
		p.state, p.forCommand = finalizeReconfiguration(p.state), false
		return append(out, p.startPhase(proposerAccepting, now)...)
	}
	return append(out, p.advance(now)...)
}

// startPhase opens a new round of votes.
func (p *Proposer) startPhase(phase proposerPhase, now time.Duration) []Ready {
	p.phase, p.grants, p.rejections, p.phaseStarted = phase, map[int]Reply{}, map[int]Reply{}, now
	p.recipients = unionMembers(p.memberSets.Union(), p.unlistedSelf())
	if phase != proposerPreparing {
		p.recipients = unionMembers(p.memberSetsOf(p.state).Union(), p.unlistedSelf())
	}
	return p.broadcast(now)
}

// unlistedSelf is the own acceptor, as far as no set names it.
func (p *Proposer) unlistedSelf() []config.Member {
	if containsSender(p.memberSets.Union(), p.Self) {
		return nil
	}
	return []config.Member{{MemberID: p.Self.MemberID, DiskID: p.Self.DiskID}}
}

// memberSetsOf are the sets of a word.
func (p *Proposer) memberSetsOf(state config.ControlState) MemberSets {
	return Acceptor{State: state, StaticSize: p.StaticSize, InitialMembers: p.initialMembers}.MemberSets()
}

// extendRecipients puts the current ballot to members that a vote has told of as well.
func (p *Proposer) extendRecipients(learned []config.Member) []Ready {
	more := slices.DeleteFunc(learned, func(m config.Member) bool {
		return slices.ContainsFunc(p.recipients, func(a config.Member) bool { return sameMember(a, m) })
	})
	if p.phase != proposerPreparing || len(more) == 0 {
		return nil
	}
	p.recipients = unionMembers(p.recipients, more)
	return []Ready{{Message: p.message(), To: more}}
}

// broadcast puts the current ballot to every slot that has not voted for it.
func (p *Proposer) broadcast(now time.Duration) []Ready {
	p.lastSent = now
	to := slices.DeleteFunc(slices.Clone(p.recipients), func(m config.Member) bool { _, ok := p.grants[m.MemberID]; return ok })
	return []Ready{{Message: p.message(), To: to}}
}

func (p *Proposer) message() *Message {
	message := &Message{Sender: p.Self, Type: MsgPrepare, Term: p.term}
	switch p.phase {
	case proposerAccepting:
		message.Type, message.Position, message.State = MsgAccept, p.position, p.state
	case proposerProbing:
		message.State.Members, message.State.PreviousMembers, message.Position = p.state.Members, p.state.PreviousMembers, p.position // what it is for
	}
	return message
}

// FollowAcceptor tells the proposer how the own acceptor stands. One without a seat can't go on
// with what it began.
func (p *Proposer) FollowAcceptor(acceptor Acceptor, now time.Duration) {
	if acceptor.Phase != PhaseEstablished && p.phase != proposerIdle {
		p.abandonTerm(now)
	}
	p.Self, p.StaticSize, p.initialMembers, p.memberSets = acceptor.Self, acceptor.StaticSize, acceptor.InitialMembers, acceptor.MemberSets()
	p.highestTerm = max(p.highestTerm, acceptor.Promised)
}
