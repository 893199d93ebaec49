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
func TestAwait(t *testing.T) {
	l := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	ctx, giveUp := context.WithCancel(t.Context())
	release, done := make(chan struct{}), make(chan error, 1)
	order := func(ctx context.Context) consensus.CommandResult {
		giveUp()
		<-release
		done <- ctx.Err()
		return consensus.CommandResult{Outcome: consensus.OutcomeCommitted}
	}
	if a := await(ctx, l, order); a.Outcome != consensus.OutcomeUnknown {
		t.Errorf("answered %q before its end", a.Outcome)
	}
	close(release)
	if err := <-done; err != nil {
		t.Errorf("the order ended with its caller: %v", err)
	}
	if a := await(t.Context(), l, func(context.Context) consensus.CommandResult {
		return consensus.CommandResult{Outcome: consensus.OutcomeCommitted}
	}); a.Outcome != consensus.OutcomeCommitted {
		t.Errorf("answered %q", a.Outcome)
	}
}
