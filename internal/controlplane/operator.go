package controlplane

import (
	"context"
	"fmt"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// This file implements the operations of an operator on a node, independent of the protocol. A
// command that has begun keeps running after its caller has disconnected. (DESIGN 18)

// PutConfiguration replaces the configuration. If the new configuration is invalid,
// PutConfiguration returns its violations and changes nothing.
func (n *Node) PutConfiguration(ctx context.Context, update ConfigurationUpdate) (consensus.CommandResult, []config.FieldViolation) {
	if violations := update.Violations(); len(violations) > 0 {
		return consensus.CommandResult{Outcome: consensus.OutcomeRejected}, violations
	}
	result := n.commands.submitDetached(ctx, update.command())
	if result.Outcome == consensus.OutcomeConflict {
		n.process.Log.Warn("generation conflict: another configuration was accepted under this generation",
			logGeneration, update.Generation, logHighest, result.State.Generation)
	}
	return result, nil
}

// Violations returns the violations of the update. An update without any may be submitted.
func (u ConfigurationUpdate) Violations() []config.FieldViolation {
	if len(u.Configuration) > config.MaxBytes || len(u.Source) > config.MaxBytes {
		return []config.FieldViolation{{Path: "$", Message: fmt.Sprintf("over %d bytes", config.MaxBytes)}}
	}
	configuration, violations, ok := config.Parse(u.Configuration)
	switch {
	case !ok:
		return []config.FieldViolation{{Path: "$", Message: "not JSON"}}
	case len(violations) > 0:
		return violations
	}
	return configuration.SubmissionViolations()
}

// command returns the command that commits the update.
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

// EvacuateZone submits the order to send no more requests to a zone.
func (n *Node) EvacuateZone(ctx context.Context, zone string) consensus.CommandResult {
	return n.submitZoneCommand(ctx, consensus.Command{Kind: consensus.CommandEvacuate, Zone: zone})
}

// RestoreZone revokes the evacuation of a zone.
func (n *Node) RestoreZone(ctx context.Context, zone string) consensus.CommandResult {
	return n.submitZoneCommand(ctx, consensus.Command{Kind: consensus.CommandRevokeEvacuation, Zone: zone})
}

// submitZoneCommand submits a command on a zone. The command is bound to the revision that was
// committed when it arrived, so that a late execution does not revert newer commands on the zone.
//
// The command is not begun if the caller has disconnected in the meantime. Such a caller may have
// sent the command to another replica, and a newer command after it. A replica whose process was
// just resumed cannot detect a disconnected caller yet, so it rejects the command. (DESIGN 6.3)
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

// QuorumRead returns the newest committed control state. ok is false if no majority answers.
func (n *Node) QuorumRead(ctx context.Context) (state config.ControlState, ok bool) {
	state, ok = n.replica.LinearizableRead(ctx, n.commands.confirmCommitted)
	if ok {
		n.counters.reads.Inc("answered")
	} else {
		n.counters.reads.Inc("no-quorum")
	}
	return state, ok
}

// AwaitApplied waits, for a bounded time, until all sidecars have applied a revision. It returns
// the addresses of the sidecars that have not applied it. known is false while this replica does
// not know all sidecars. (DESIGN 6.6)
func (n *Node) AwaitApplied(ctx context.Context, revision uint64) (behind []string, known bool) {
	return n.watchServer.AwaitApplied(ctx, revision)
}
