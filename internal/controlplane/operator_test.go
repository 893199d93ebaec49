package controlplane

import (
	"context"
	"log/slog"
	"testing"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/controlplane/consensus"
)

// A caller whose context ends before the command finishes receives OutcomeUnknown. The command
// keeps running and is not cancelled.
func TestRunDetached(t *testing.T) {
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	ctx, cancel := context.WithCancel(t.Context())
	release, done := make(chan struct{}), make(chan error, 1)
	command := func(ctx context.Context) consensus.CommandResult {
		cancel()
		<-release
		done <- ctx.Err()
		return consensus.CommandResult{Outcome: consensus.OutcomeCommitted}
	}
	if result := runDetached(ctx, actors, command); result.Outcome != consensus.OutcomeUnknown {
		t.Errorf("got outcome %q before the command finished, want unknown", result.Outcome)
	}
	close(release)
	if err := <-done; err != nil {
		t.Errorf("the command was cancelled together with its caller: %v", err)
	}
	if result := runDetached(t.Context(), actors, func(context.Context) consensus.CommandResult {
		return consensus.CommandResult{Outcome: consensus.OutcomeCommitted}
	}); result.Outcome != consensus.OutcomeCommitted {
		t.Errorf("got outcome %q, want committed", result.Outcome)
	}
}
