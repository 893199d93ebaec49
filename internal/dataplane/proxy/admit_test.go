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

// TestDuplicateAttempt checks that an attempt that arrives a second time while the first copy is
// running, and is then refused, is not reported as not run.
func TestDuplicateAttempt(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	in := NewInbound(ctx, InboundConfig{}, InboundDeps{Actors: actors, Bodies: &BodyLimiter{}, Draining: func() bool { return true }})
	if !in.attemptLog.begin(ctx, "first") {
		t.Fatal("the first attempt did not begin")
	}
	if response := in.admit(ctx, &Attempt{ID: "first"}, trace.Root()); response.Outcome != routing.Unknown {
		t.Errorf("outcome of the duplicate of a running attempt: %q, want unknown", response.Outcome)
	}
	if response := in.admit(ctx, &Attempt{ID: "other"}, trace.Root()); response.Outcome != routing.NotRun {
		t.Errorf("outcome of an attempt that never began: %q, want not-run", response.Outcome)
	}
}
