package controlplane

import (
	"context"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/metrics"
	"curlewwalk/internal/transport"
)

const (
	// submitTimeout bounds a command including all its redirections. The consensus package bounds
	// each single execution.
	submitTimeout = 5 * time.Second
	// redirectDelay is how long a rejected command waits before it is sent to a new coordinator.
	// The delay gives the new coordinator time to learn that it is the coordinator.
	redirectDelay = 50 * time.Millisecond
)

// commandRouter routes commands to the coordinator.
type commandRouter struct {
	cluster *cluster
	replica *consensus.Replica
	actors  *actor.System
	// executed counts the commands that this replica has executed, by kind and outcome.
	executed *metrics.CounterVec
}

// submit sends a command to the coordinator and returns the result. If the command was certainly
// not accepted and the coordinator has changed since, submit retries at the new coordinator.
func (r *commandRouter) submit(ctx context.Context, command consensus.Command) consensus.CommandResult {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	for {
		coordinator := r.cluster.coordinator()
		result := r.submitTo(ctx, coordinator, command)
		if result.Outcome != consensus.OutcomeRejected || r.cluster.coordinator().Addr == coordinator.Addr {
			return result
		}
		select {
		case <-time.After(redirectDelay):
		case <-ctx.Done():
			return result
		}
	}
}

// submitTo executes a command at one replica.
func (r *commandRouter) submitTo(ctx context.Context, replica membership.Replica, command consensus.Command) consensus.CommandResult {
	if r.cluster.isSelf(replica) {
		return r.execute(ctx, command)
	}
	var result consensus.CommandResult
	switch response := r.replica.Forward(ctx, replica.Addr, command); {
	case response.Decode(&result):
		return result
	case response.Delivery == transport.NotDelivered:
		// The coordinator is unreachable, so this replica executes the command itself. Consensus
		// stays safe if two replicas propose at once.
		return r.execute(ctx, command)
	}
	return consensus.CommandResult{Outcome: consensus.OutcomeUnknown}
}

// execute proposes a command at this replica and counts the outcome.
func (r *commandRouter) execute(ctx context.Context, command consensus.Command) consensus.CommandResult {
	result := r.replica.Submit(ctx, command)
	r.executed.Inc(string(command.Kind), string(result.Outcome))
	return result
}

// confirmCommitted submits a command that changes nothing. If it is committed, a majority holds the
// newest control state.
func (r *commandRouter) confirmCommitted(ctx context.Context) consensus.CommandResult {
	return r.submit(ctx, consensus.Command{Kind: consensus.CommandRefresh})
}

// submitDetached submits a command that keeps running after ctx ends.
func (r *commandRouter) submitDetached(ctx context.Context, command consensus.Command) consensus.CommandResult {
	return runDetached(ctx, r.actors, func(ctx context.Context) consensus.CommandResult { return r.submit(ctx, command) })
}

// runDetached runs a command to completion, regardless of the end of ctx. It returns the result of
// the command, or consensus.OutcomeUnknown if ctx ends first.
func runDetached(ctx context.Context, actors *actor.System, run func(ctx context.Context) consensus.CommandResult) consensus.CommandResult {
	finished := make(chan consensus.CommandResult, 1)
	actors.Go(context.WithoutCancel(ctx), "command", func(ctx context.Context) { finished <- run(ctx) })
	select {
	case result := <-finished:
		return result
	case <-ctx.Done():
		return consensus.CommandResult{Outcome: consensus.OutcomeUnknown}
	}
}
