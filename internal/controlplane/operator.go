package controlplane

import (
	"context"
	"fmt"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// What an operator may ask of a core, in whatever dialect. An order that was begun goes
// on though whoever gave it goes away. (DESIGN 18)

// PutConfiguration has a configuration put, unless it has faults: then nothing is done.
func (n *Node) PutConfiguration(ctx context.Context, update ConfigurationUpdate) (consensus.CommandResult, []config.FieldViolation) {
	if len(update.Configuration) > config.MaxBytes || len(update.Source) > config.MaxBytes {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}, []config.FieldViolation{{Path: "$", Message: fmt.Sprintf("over %d bytes", config.MaxBytes)}}
	}
	_, faults, ok := config.Parse(update.Configuration)
	if !ok {
		faults = []config.FieldViolation{{Path: "$", Message: "not JSON"}}
	}
	if len(faults) > 0 {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}, faults
	}
	command := consensus.Command{Kind: consensus.CommandPutConfiguration, Payload: update.Configuration, Generation: update.Generation, Submitted: update.Source, IfMatch: update.IfMatch}
	if update.Generation != 0 {
		command.Digest = config.SubmissionDigest(update.Source, update.Configuration)
	}
	result := n.submitDetached(ctx, command)
	if result.Outcome == consensus.OutcomeConflict {
		n.process.Log.Warn("another configuration was taken under its number", "generation", update.Generation, "held", result.State.Generation)
	}
	return result, nil
}

// EvacuateZone has a zone emptied.
func (n *Node) EvacuateZone(ctx context.Context, zone string) consensus.CommandResult {
	return n.submitZoneCommand(ctx, consensus.Command{Kind: consensus.CommandEvacuate, Zone: zone})
}

// RestoreZone has a zone taken back.
func (n *Node) RestoreZone(ctx context.Context, zone string) consensus.CommandResult {
	return n.submitZoneCommand(ctx, consensus.Command{Kind: consensus.CommandRevokeEvacuation, Zone: zone})
}

// submitZoneCommand carries an order on a zone out. It is bound to what was settled when it
// came, so that it does not undo what is ordered there after it, however late it is
// carried out; and it is not begun if whoever gave it has gone away meanwhile, since the
// same was then given elsewhere, and perhaps something newer. A core that has just woken
// can't know that yet, and takes none. (DESIGN 6.3)
func (n *Node) submitZoneCommand(ctx context.Context, command consensus.Command) consensus.CommandResult {
	if !n.replica.Connected() || n.replica.RecentlyResumed() {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}
	}
	since, ok := n.replica.CommittedRevision(ctx, n.confirmCommitted)
	if !ok || ctx.Err() != nil {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}
	}
	command.SinceRevision = &since
	return n.submitDetached(ctx, command)
}

// submitDetached carries an order out.
func (n *Node) submitDetached(ctx context.Context, command consensus.Command) consensus.CommandResult {
	return runDetached(ctx, n.process.Actors, func(ctx context.Context) consensus.CommandResult { return n.submit(ctx, command) })
}

// runDetached carries out an order that goes on though whoever gave it goes away, and returns
// its answer, or that it is not known when ctx ends before.
func runDetached(ctx context.Context, actors *actor.System, order func(ctx context.Context) consensus.CommandResult) consensus.CommandResult {
	answer := make(chan consensus.CommandResult, 1)
	actors.Go(context.WithoutCancel(ctx), "order", func(ctx context.Context) { answer <- order(ctx) })
	select {
	case result := <-answer:
		return result
	case <-ctx.Done():
		return consensus.CommandResult{Outcome: consensus.OutcomeUnknown}
	}
}

// QuorumRead reads the newest word back from a majority; false if none answers.
func (n *Node) QuorumRead(ctx context.Context) (config.ControlState, bool) {
	state, ok := n.replica.LinearizableRead(ctx, n.confirmCommitted)
	if ok {
		n.counters.reads.Inc("answered")
	} else {
		n.counters.reads.Inc("no-quorum")
	}
	return state, ok
}

// Ready tells whether the core serves, and why not.
func (n *Node) Ready(ctx context.Context) (bool, string) {
	st, ok := n.directory.Status(ctx)
	lacking := whyNotMember(n.replica.Acceptor(), n.joined.Load())
	n.joined.Store(lacking == "")
	switch {
	case n.draining.Load():
		return false, "stopping"
	case lacking != "":
		return false, lacking
	case !n.replica.Connected():
		return false, "no majority of cores answers"
	case !ok || !st.Ready:
		return false, "still being told of the nodes"
	}
	return true, "serving"
}

// whyNotMember tells why a core does not count as a member yet, or nothing; joined is
// whether it did when this was last asked. A change of the set that brought it in has to
// be finished: until then a loss in the set before may stop the cores. Changes after that
// one leave it a member.
func whyNotMember(acceptor consensus.Acceptor, joined bool) string {
	switch {
	case acceptor.Phase != consensus.PhaseEstablished:
		return "not established in its slot"
	case !acceptor.IsMember():
		return "its slot was struck"
	case !joined && len(acceptor.MemberSets().Previous) > 0:
		return "the set before is still needed beside the one that names it"
	}
	return ""
}

// WaitApplied waits until all sidecars have a stamp in force, or for a while, and
// lists those that have not; known is false while that can't be told.
// (DESIGN 6.6)
func (n *Node) WaitApplied(ctx context.Context, stamp uint64) (behind []string, known bool) {
	return n.directory.AwaitApplied(ctx, stamp)
}
