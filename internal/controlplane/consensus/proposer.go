package consensus

import (
	"time"

	"curlewwalk/internal/config"
)

const (
	// resendAfter is the time without a quorum of replies after which the proposer sends a
	// message again.
	resendAfter = 250 * time.Millisecond
	// termBackoff is the delay before a new term after the proposer has lost one. It applies
	// once for the proposer itself and once for each member with a lower ID, so that two
	// competing proposers do not start again at the same time.
	termBackoff = 100 * time.Millisecond
	// probeTimeout bounds the wait for the members that a reconfiguration needs. Other commands
	// are delayed during that wait.
	probeTimeout = 500 * time.Millisecond
	// finishTimeout bounds a proposal that no command is waiting for, such as the one that
	// finalizes a reconfiguration.
	finishTimeout = time.Second
)

// proposerPhase identifies the replies that the proposer is waiting for.
type proposerPhase int

const (
	// proposerIdle waits for commands, or for the backoff to end.
	proposerIdle proposerPhase = iota
	// proposerPreparing waits for a majority to promise the term.
	proposerPreparing
	// proposerAccepting waits for a majority to accept the proposal.
	proposerAccepting
	// proposerProbing waits for replies of the members that a reconfiguration needs, before the
	// reconfiguration is proposed.
	proposerProbing
)

// Proposer writes the control state for the coordinator, one command at a time, under a term
// that a majority of the acceptors has promised. It is a pure state machine without clock,
// goroutines, or I/O. Each method takes the time since the replica's start and returns the
// messages to send and the results to deliver. The zero value is ready for use once
// FollowAcceptor has been called. (DESIGN 6.3)
type Proposer struct {
	// self, staticSize, and initialMembers are copied from the local acceptor.
	self           Sender
	staticSize     int
	initialMembers []config.Member
	memberSets     MemberSets // the member sets known to the local acceptor
	phase          proposerPhase
	term           uint64        // the term held or being prepared; zero if there is none
	termStarted    time.Duration // when the prepare phase of the term began
	highestTerm    uint64        // the highest promise of the local acceptor or in any reply
	backoffUntil   time.Duration // no new term is prepared before this time
	base           stateSnapshot // the newest state, read by the prepare phase or committed since
	proposal       proposal
	commands       commandQueue
	exchange       phaseExchange
}

// stateSnapshot is a control state and the position at which it was accepted.
type stateSnapshot struct {
	position Position
	state    config.ControlState
}

// proposal is the state that the acceptors are asked to accept.
type proposal struct {
	stateSnapshot
	// forCommand is set if the proposal executes the first queued command. It is not set for a
	// proposal that completes an earlier unfinished one or finalizes a reconfiguration.
	forCommand bool
}

// phaseExchange tracks the messages of the current phase and the replies to them.
type phaseExchange struct {
	recipients []config.Member
	startedAt  time.Duration
	lastSent   time.Duration
	grants     map[int]Reply // by member ID
	rejections map[int]Reply // replies that promise a higher term, by member ID
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

// HandleReply processes the reply of an acceptor. A reply that does not belong to the current
// phase updates only the highest known term.
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

// Tick performs time-dependent work: it expires commands and resends messages without a reply.
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

// RejectUnproposed rejects the commands that have not been proposed. This proposer will never
// propose them, so another replica may execute them.
func (p *Proposer) RejectUnproposed() (ready []Ready) {
	var kept commandQueue
	for i, command := range p.commands {
		if command.wasProposed() {
			kept = append(kept, command)
			continue
		}
		if i == 0 && p.phase == proposerProbing {
			p.phase = proposerIdle // no acceptor holds the proposal
		}
		ready = append(ready, command.endWith(OutcomeRejected))
	}
	p.commands = kept
	return ready
}

// FollowAcceptor copies the state of the local acceptor. The proposer abandons its term if the
// acceptor is no longer established.
func (p *Proposer) FollowAcceptor(acceptor Acceptor, now time.Duration) {
	if acceptor.Phase != PhaseEstablished && p.phase != proposerIdle {
		p.abandonTerm(now)
	}
	p.self, p.staticSize, p.initialMembers = acceptor.Self, acceptor.StaticSize, acceptor.InitialMembers
	p.memberSets = acceptor.MemberSets()
	p.highestTerm = max(p.highestTerm, acceptor.Promised)
}

// expireCommands ends the commands whose deadline has passed.
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
				p.abandonTerm(now) // the next term completes the unfinished proposal or supersedes it
			}
		}
		if first && p.phase == proposerProbing {
			p.phase = proposerIdle // no acceptor holds the proposal
		}
		ready = append(ready, command.endWith(outcome))
	}
	p.commands = kept
	return ready
}

// expireProbe rejects a reconfiguration whose required members did not answer in time.
func (p *Proposer) expireProbe(now time.Duration) []Ready {
	if p.phase != proposerProbing || now-p.exchange.startedAt < probeTimeout {
		return nil
	}
	first := p.commands.pop()
	p.abandonTerm(now)
	return []Ready{first.endWith(OutcomeRejected)}
}

// resend sends the message of the phase again to the members that have not granted it.
func (p *Proposer) resend(now time.Duration) []Ready {
	if p.phase == proposerIdle || now-p.exchange.lastSent < resendAfter {
		return nil
	}
	if len(p.exchange.rejections) > 0 {
		p.abandonTerm(now) // no quorum of the members that did not reject has answered
		return nil
	}
	return p.broadcast(now)
}
