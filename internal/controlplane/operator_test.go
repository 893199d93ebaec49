package controlplane

import (
	"context"
	"log/slog"
	"testing"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/controlplane/consensus"
)

// Whoever gives an order learns that its outcome is not known when its time is over,
// though the order goes on.
func TestRunDetached(t *testing.T) {
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	ctx, giveUp := context.WithCancel(t.Context())
	release, done := make(chan struct{}), make(chan error, 1)
	order := func(ctx context.Context) consensus.CommandResult {
		giveUp()
		<-release
		done <- ctx.Err()
		return consensus.CommandResult{Outcome: consensus.OutcomeCommitted}
	}
	if result := runDetached(ctx, actors, order); result.Outcome != consensus.OutcomeUnknown {
		t.Errorf("answered %q before its end", result.Outcome)
	}
	close(release)
	if err := <-done; err != nil {
		t.Errorf("the order ended with its caller: %v", err)
	}
	if result := runDetached(t.Context(), actors, func(context.Context) consensus.CommandResult {
		return consensus.CommandResult{Outcome: consensus.OutcomeCommitted}
	}); result.Outcome != consensus.OutcomeCommitted {
		t.Errorf("answered %q", result.Outcome)
	}
}
