package proxy

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/trace"
)

// An attempt that comes a second time while the first runs, and is then refused, is not said not to
// have run.
func TestDuplicateAttempt(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	in := NewInbound(ctx, InboundConfig{}, InboundDeps{Actors: actors, Bodies: &BodyLimiter{}, Draining: func() bool { return true }})
	if !in.attemptLog.begin(ctx, "first") {
		t.Fatal("the first did not begin")
	}
	if response := in.admit(ctx, &Attempt{ID: "first"}, trace.Root()); response.Outcome != routing.Unknown {
		t.Errorf("the duplicate of what runs is %q", response.Outcome)
	}
	if response := in.admit(ctx, &Attempt{ID: "other"}, trace.Root()); response.Outcome != routing.NotRun {
		t.Errorf("what was never begun is %q", response.Outcome)
	}
}
