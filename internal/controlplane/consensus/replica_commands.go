package consensus

import (
	"context"
	"math/rand/v2"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/transport"
)

const (
	// commandTimeout bounds the execution of a command.
	commandTimeout = 3 * time.Second
	// reconfigurationTimeout bounds the time for which a reconfiguration may delay other
	// commands.
	reconfigurationTimeout = 2 * time.Second
	// regainTimeout bounds the time for which a command waits for the replica to contact a
	// majority again. The operator clients in tests/e2e treat one second without a response as
	// a failure.
	regainTimeout = 700 * time.Millisecond
)

// pendingCommands maps the IDs of commands in progress to the channels that receive their
// results.
type pendingCommands map[uint64]chan<- CommandResult

// answer delivers the result of a command and removes the command.
func (p pendingCommands) answer(result CommandResult) {
	if reply, ok := p[result.ID]; ok {
		reply <- result
		delete(p, result.ID)
	}
}

// Submit executes a command on this replica. A replica without a recent quorum contact contacts
// a majority first: after a scheduling delay or a suspension, the majority may be reachable
// although no recent contact is recorded.
func (r *Replica) Submit(ctx context.Context, command Command) CommandResult {
	if !r.Connected() && !r.regainContact(ctx) {
		return CommandResult{Outcome: OutcomeRejected}
	}
	command.ID = rand.Uint64()
	command.Deadline = r.now() + commandTimeout
	if command.Kind == CommandReconfigure {
		command.Deadline = r.now() + reconfigurationTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout+time.Second)
	defer cancel()
	result, ok := actor.Ask(ctx, r.mailbox, func(reply chan<- CommandResult) any { return commandEvent{command, reply} })
	if !ok {
		return CommandResult{Outcome: OutcomeUnknown}
	}
	return result
}

// Forward sends a command to another replica for execution. The response holds a CommandResult.
func (r *Replica) Forward(ctx context.Context, addr string, command Command) transport.Response {
	return r.members.forward(ctx, addr, command)
}

// regainContact contacts a majority immediately and reports whether one answered.
func (r *Replica) regainContact(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, regainTimeout)
	defer cancel()
	return r.observeQuorum(ctx)
}

// handleCommandEvent passes a command to the proposer. A replica without contact to a majority
// rejects commands: a command could only time out here, whereas its sender can retry at another
// replica immediately. Rejecting them also keeps the proposer from raising terms that would
// disturb the other replicas once contact is restored. (DESIGN 6.3)
func (r *Replica) handleCommandEvent(ctx context.Context, e commandEvent, now time.Duration) {
	if r.acceptor.Phase != PhaseEstablished || !r.Health().Connected(now) {
		e.reply <- CommandResult{Outcome: OutcomeRejected}
		return
	}
	r.commands[e.command.ID] = e.reply
	r.handleReady(ctx, r.proposer.Enqueue(e.command, now))
}

// refreshDue reports whether this replica has to commit the newest state. The coordinator does
// so if the newest state, on this or another replica, is not known to be held by a majority, or
// if a reconfiguration has not been finalized. This occurs after a cold start or after a
// proposer stopped between accept and commit.
func (r *Replica) refreshDue(now time.Duration) bool {
	uncommitted := r.acceptor.Position.Revision > r.acceptor.Committed || len(r.acceptor.State.PreviousMembers) > 0 || r.commits.uncommitted
	return uncommitted && len(r.commands) == 0 && now-r.lastAttempt >= attemptInterval && r.Health().Connected(now) && r.deps.Peers.IsCoordinator()
}

// refresh submits a CommandRefresh, whose result is discarded, to have the newest state
// committed.
func (r *Replica) refresh(ctx context.Context, now time.Duration) {
	r.lastAttempt = now
	command := Command{ID: rand.Uint64(), Kind: CommandRefresh, Deadline: now + commandTimeout}
	r.commands[command.ID] = make(chan CommandResult, 1)
	r.handleReady(ctx, r.proposer.Enqueue(command, now))
}
