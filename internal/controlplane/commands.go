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
	// submitTimeout bounds a command with all its redirections. One execution is bounded by the
	// consensus package.
	submitTimeout = 5 * time.Second // (ours)
	// redirectDelay is how long a rejected command waits before it goes to a new coordinator, for
	// that one to learn that it is the coordinator.
	redirectDelay = 50 * time.Millisecond // (ours)
)

// commandRouter takes commands to the coordinator.
type commandRouter struct {
	cluster *cluster
	replica *consensus.Replica
	actors  *actor.System
	// executed counts the commands that this replica executed, by kind and outcome.
	executed *metrics.CounterVec
}

// submit has the coordinator execute a command. A command that was surely not accepted, since the
// coordinator changed meanwhile, goes to the new one.
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

// submitTo has one replica execute a command.
func (r *commandRouter) submitTo(ctx context.Context, replica membership.Replica, command consensus.Command) consensus.CommandResult {
	if r.cluster.isSelf(replica) {
		return r.execute(ctx, command)
	}
	var result consensus.CommandResult
	switch response := r.replica.Forward(ctx, replica.Addr, command); {
	case response.Decode(&result):
		return result
	case response.Delivery == transport.NotDelivered:
		// It is gone: this replica tries itself, and consensus decides who is right.
		return r.execute(ctx, command)
	}
	return consensus.CommandResult{Outcome: consensus.OutcomeUnknown}
}

// execute has this replica propose a command, and counts it.
func (r *commandRouter) execute(ctx context.Context, command consensus.Command) consensus.CommandResult {
	result := r.replica.Submit(ctx, command)
	r.executed.Inc(string(command.Kind), string(result.Outcome))
	return result
}

// confirmCommitted makes sure that a majority holds the newest control state.
func (r *commandRouter) confirmCommitted(ctx context.Context) consensus.CommandResult {
	return r.submit(ctx, consensus.Command{Kind: consensus.CommandRefresh})
}

// submitDetached submits a command that goes on though its caller goes away.
func (r *commandRouter) submitDetached(ctx context.Context, command consensus.Command) consensus.CommandResult {
	return runDetached(ctx, r.actors, func(ctx context.Context) consensus.CommandResult { return r.submit(ctx, command) })
}

// runDetached runs a command to its end whatever becomes of ctx. It returns the command's result,
// or consensus.OutcomeUnknown if ctx ends first.
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
