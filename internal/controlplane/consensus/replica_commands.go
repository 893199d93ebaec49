package consensus

import (
	"context"
	"math/rand/v2"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/transport"
)

const (
	// commandTimeout is how long a command may take.
	commandTimeout = 3 * time.Second // (ours)
	// reconfigurationTimeout is how long a reconfiguration may hold up other commands.
	reconfigurationTimeout = 2 * time.Second // (ours)
	// regainTimeout is how long a command waits for a contact with a majority that was missed.
	// Its sender takes a second without an answer for a failure.
	regainTimeout = 700 * time.Millisecond // (ours)
)

// pendingCommands are the commands that wait for their results, by ID.
type pendingCommands map[uint64]chan<- CommandResult

// answer ends a command.
func (p pendingCommands) answer(result CommandResult) {
	if reply, ok := p[result.ID]; ok {
		reply <- result
		delete(p, result.ID)
	}
}

// Submit carries a command out on this replica. One that has missed the others asks them
// first: on a processor that is late, or has just resumed, the contact is only not known yet.
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

// Forward has another replica carry a command out; its response is a CommandResult.
func (r *Replica) Forward(ctx context.Context, addr string, command Command) transport.Response {
	return r.members.forward(ctx, addr, command)
}

// regainContact asks a majority at once; false if none answers.
func (r *Replica) regainContact(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, regainTimeout)
	defer cancel()
	return r.observeQuorum(ctx)
}

// handleCommandEvent hands a command to the proposer. A replica without contact to a majority
// takes none: the command could only run out of time here, and its sender may go to another
// replica at once. Nor does the proposer raise terms that would disturb the others once the
// contact is back. (DESIGN 6.3)
func (r *Replica) handleCommandEvent(ctx context.Context, e commandEvent, now time.Duration) {
	if r.acceptor.Phase != PhaseEstablished || !r.Health().Connected(now) {
		e.reply <- CommandResult{Outcome: OutcomeRejected}
		return
	}
	r.commands[e.command.ID] = e.reply
	r.handleReady(ctx, r.proposer.Enqueue(e.command, now))
}

// refreshDue reports whether this replica has to make sure of the newest state: one that no
// majority is known to hold, here or elsewhere, as after a cold start or when a proposer has
// stopped half way. That is for the coordinator.
func (r *Replica) refreshDue(now time.Duration) bool {
	uncommitted := r.acceptor.Position.Revision > r.acceptor.Committed || len(r.acceptor.State.PreviousMembers) > 0 || r.commits.uncommitted
	return uncommitted && len(r.commands) == 0 && now-r.lastAttempt >= attemptInterval && r.Health().Connected(now) && r.deps.Peers.IsCoordinator()
}

// refresh has the newest state committed, for nobody.
func (r *Replica) refresh(ctx context.Context, now time.Duration) {
	r.lastAttempt = now
	command := Command{ID: rand.Uint64(), Kind: CommandRefresh, Deadline: now + commandTimeout}
	r.commands[command.ID] = make(chan CommandResult, 1)
	r.handleReady(ctx, r.proposer.Enqueue(command, now))
}
