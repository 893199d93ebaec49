package consensus

import (
	"time"

	"curlewwalk/internal/config"
)

const (
	// resendAfter is how long the proposer waits for replies before it sends a message again.
	resendAfter = 250 * time.Millisecond // (ours)
	// termBackoff is how long a proposer waits after it has lost a term, for each member with
	// a lower ID and itself: two of them that compete don't start again at the same time.
	termBackoff = 100 * time.Millisecond // (ours)
	// probeTimeout is how long the members that a reconfiguration needs may take to answer;
	// other commands wait meanwhile.
	probeTimeout = 500 * time.Millisecond // (ours)
	// finishTimeout is how long a proposal that no command waits for may take, such as the
	// one that finalizes a reconfiguration.
	finishTimeout = time.Second // (ours)
)

// proposerPhase is what the proposer waits for.
type proposerPhase int

const (
	// proposerIdle waits for commands.
	proposerIdle proposerPhase = iota
	// proposerPreparing waits for a majority to promise the term.
	proposerPreparing
	// proposerAccepting waits for a majority to accept the proposal.
	proposerAccepting
	// proposerProbing waits for the members that a reconfiguration needs to answer, before it
	// is proposed.
	proposerProbing
)

// Proposer writes the control state for the coordinator: one command at a time, under a
// term that a majority of the acceptors has promised to. It is a pure state machine without
// clock, goroutines or I/O: each method takes the time since the replica's start and returns
// what is to be sent and answered. The zero value is ready once FollowAcceptor was called.
// (DESIGN 6.3)
type Proposer struct {
	// self, staticSize and initialMembers are those of the local acceptor.
	self           Sender
	staticSize     int
	initialMembers []config.Member
	memberSets     MemberSets // those that the local acceptor knows
	phase          proposerPhase
	term           uint64        // the term held or being prepared; zero: none
	termStarted    time.Duration // when the term was asked for
	highestTerm    uint64        // the highest term seen in any reply
	backoffUntil   time.Duration // no new term before this
	base           stateSnapshot // the newest state that is known under this term
	proposal       proposal
	commands       commandQueue
	exchange       phaseExchange
}

// stateSnapshot is a control state and the position under which it was accepted.
type stateSnapshot struct {
	position Position
	state    config.ControlState
}

// proposal is what the acceptors are asked to accept.
type proposal struct {
	stateSnapshot
	// forCommand is set if the proposal is the first queued command's, and not one that was
	// left unfinished or that finalizes a reconfiguration.
	forCommand bool
}

// phaseExchange is the exchange of messages of the current phase.
type phaseExchange struct {
	recipients []config.Member
	startedAt  time.Duration
	lastSent   time.Duration
	grants     map[int]Reply // by member ID
	rejections map[int]Reply // those for a higher term, by member ID
}

// Enqueue queues a command.
func (p *Proposer) Enqueue(command Command, now time.Duration) []Ready {
	command.enqueuedAt = now
	if command.Kind == CommandPutConfiguration && command.Generation != 0 && command.Digest == nil {
		command.Digest = config.SubmissionDigest(command.Submitted, command.Payload)
	}
	p.commands = append(p.commands, command)
	return p.advance(now)
}

// HandleReply takes the reply of an acceptor. One that does not belong to the current phase
// changes nothing but the highest known term.
func (p *Proposer) HandleReply(reply Reply, now time.Duration) []Ready {
	p.highestTerm = max(p.highestTerm, reply.Promised)
	if !p.expects(reply) {
		return nil
	}
	if !reply.Granted {
		if reply.Promised > p.term {
			p.handleRejection(reply, now)
		}
		return nil
	}
	p.exchange.grants[reply.Sender.MemberID] = reply
	replies := CurrentReplies(p.exchange.grants)
	if !p.hasQuorum(replies) {
		return p.extendRecipients(reply.MemberSets.Union())
	}
	switch p.phase {
	case proposerProbing:
		return p.handleProbed(replies, now)
	case proposerPreparing:
		return p.handlePrepared(replies, now)
	}
	return p.handleCommitted(now)
}

// Tick lets time pass: commands expire, and messages without a reply are sent again.
func (p *Proposer) Tick(now time.Duration) []Ready {
	ready := p.expireCommands(now)
	ready = append(ready, p.expireProbe(now)...)
	finishing := p.phase == proposerAccepting && !p.proposal.forCommand && now-p.exchange.startedAt < finishTimeout
	if p.phase != proposerIdle && len(p.commands) == 0 && !finishing {
		p.abandonTerm(now)
	}
	ready = append(ready, p.resend(now)...)
	return append(ready, p.advance(now)...)
}

// RejectUnproposed ends the commands that were not proposed: this proposer will surely never
// propose them, and another replica may take them.
func (p *Proposer) RejectUnproposed() (ready []Ready) {
	var kept commandQueue
	for i, command := range p.commands {
		if command.wasProposed() {
			kept = append(kept, command)
			continue
		}
		if i == 0 && p.phase == proposerProbing {
			p.phase = proposerIdle // no acceptor has its state
		}
		ready = append(ready, command.endWith(OutcomeRejected))
	}
	p.commands = kept
	return ready
}

// FollowAcceptor takes the state of the local acceptor. A proposer whose acceptor is no
// longer established gives its term up.
func (p *Proposer) FollowAcceptor(acceptor Acceptor, now time.Duration) {
	if acceptor.Phase != PhaseEstablished && p.phase != proposerIdle {
		p.abandonTerm(now)
	}
	p.self, p.staticSize, p.initialMembers = acceptor.Self, acceptor.StaticSize, acceptor.InitialMembers
	p.memberSets = acceptor.MemberSets()
	p.highestTerm = max(p.highestTerm, acceptor.Promised)
}

// expireCommands ends the commands whose deadline is over.
func (p *Proposer) expireCommands(now time.Duration) (ready []Ready) {
	var kept commandQueue
	for _, command := range p.commands {
		if now < command.Deadline {
			kept = append(kept, command)
			continue
		}
		first := len(kept) == 0
		outcome := OutcomeRejected
		if command.wasProposed() {
			outcome = OutcomeUnknown
			if first && p.phase == proposerAccepting && p.proposal.forCommand {
				p.abandonTerm(now) // the next term finds the unfinished proposal or supersedes it
			}
		}
		if first && p.phase == proposerProbing {
			p.phase = proposerIdle // no acceptor has its state
		}
		ready = append(ready, command.endWith(outcome))
	}
	p.commands = kept
	return ready
}

// expireProbe ends a reconfiguration whose members did not answer in time.
func (p *Proposer) expireProbe(now time.Duration) []Ready {
	if p.phase != proposerProbing || now-p.exchange.startedAt < probeTimeout {
		return nil
	}
	first := p.commands.pop()
	p.abandonTerm(now)
	return []Ready{first.endWith(OutcomeRejected)}
}

// resend sends the message of the phase again to those who have not granted it.
func (p *Proposer) resend(now time.Duration) []Ready {
	if p.phase == proposerIdle || now-p.exchange.lastSent < resendAfter {
		return nil
	}
	if len(p.exchange.rejections) > 0 {
		p.abandonTerm(now) // it takes majorities without those who refused, and they don't answer
		return nil
	}
	return p.broadcast(now)
}
