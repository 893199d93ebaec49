package controlplane

import (
	"context"
	"fmt"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// This file has what an operator may ask of a node, in whatever protocol. A command that has begun
// goes on though its caller goes away. (DESIGN 18)

// PutConfiguration replaces the configuration. If it is not valid, the violations are returned and
// nothing is done.
func (n *Node) PutConfiguration(ctx context.Context, update ConfigurationUpdate) (consensus.CommandResult, []config.FieldViolation) {
	if violations := update.validate(); len(violations) > 0 {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}, violations
	}
	result := n.commands.submitDetached(ctx, update.command())
	if result.Outcome == consensus.OutcomeConflict {
		n.process.Log.Warn("generation conflict: another configuration was accepted under this generation",
			logGeneration, update.Generation, logHighest, result.State.Generation)
	}
	return result, nil
}

// validate lists what is wrong with the update.
func (u ConfigurationUpdate) validate() []config.FieldViolation {
	if len(u.Configuration) > config.MaxBytes || len(u.Source) > config.MaxBytes {
		return []config.FieldViolation{{Path: "$", Message: fmt.Sprintf("over %d bytes", config.MaxBytes)}}
	}
	_, violations, ok := config.Parse(u.Configuration)
	if !ok {
		return []config.FieldViolation{{Path: "$", Message: "not JSON"}}
	}
	return violations
}

// command is the command that commits the update.
func (u ConfigurationUpdate) command() consensus.Command {
	command := consensus.Command{
		Kind: consensus.CommandPutConfiguration, Payload: u.Configuration,
		Generation: u.Generation, Submitted: u.Source, IfMatch: u.IfMatch,
	}
	if u.Generation != 0 {
		command.Digest = config.SubmissionDigest(u.Source, u.Configuration)
	}
	return command
}

// EvacuateZone has no more requests sent to a zone.
func (n *Node) EvacuateZone(ctx context.Context, zone string) consensus.CommandResult {
	return n.submitZoneCommand(ctx, consensus.Command{Kind: consensus.CommandEvacuate, Zone: zone})
}

// RestoreZone revokes EvacuateZone.
func (n *Node) RestoreZone(ctx context.Context, zone string) consensus.CommandResult {
	return n.submitZoneCommand(ctx, consensus.Command{Kind: consensus.CommandRevokeEvacuation, Zone: zone})
}

// submitZoneCommand submits a command on a zone. It is bound to the revision that was committed
// when it arrived, so that it does not revert newer commands on the zone, however late it is
// executed. It is not begun if its caller has gone away meanwhile: the caller then sent it to
// another replica, and perhaps a newer one after it. A replica whose process was just resumed can't
// know that yet, and rejects it. (DESIGN 6.3)
func (n *Node) submitZoneCommand(ctx context.Context, command consensus.Command) consensus.CommandResult {
	if !n.replica.Connected() || n.replica.RecentlyResumed() {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}
	}
	since, ok := n.replica.CommittedRevision(ctx, n.commands.confirmCommitted)
	if !ok || ctx.Err() != nil {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}
	}
	command.SinceRevision = &since
	return n.commands.submitDetached(ctx, command)
}

// QuorumRead reads the newest committed control state; ok is false if no majority answers.
func (n *Node) QuorumRead(ctx context.Context) (state config.ControlState, ok bool) {
	state, ok = n.replica.LinearizableRead(ctx, n.commands.confirmCommitted)
	if ok {
		n.counters.reads.Inc("answered")
	} else {
		n.counters.reads.Inc("no-quorum")
	}
	return state, ok
}

// AwaitApplied waits until all sidecars have applied a revision, or for a bounded time, and lists
// those that have not; known is false while this replica does not know all sidecars. (DESIGN 6.6)
func (n *Node) AwaitApplied(ctx context.Context, revision uint64) (behind []string, known bool) {
	return n.watchServer.AwaitApplied(ctx, revision)
}
