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

// An attempt that comes a second time, while the first is being run, and is refused by
// then, is not told to be not run.
func TestRefusedTwin(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	actors := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	f := NewInbound(ctx, InboundConfig{}, InboundDeps{Actors: actors, Bodies: &BodyLimiter{}, Draining: func() bool { return true }})
	if !f.attemptLog.begin(ctx, "first") {
		t.Fatal("the first did not begin")
	}
	if response := f.admit(ctx, &Attempt{ID: "first"}, trace.Root()); response.Outcome != routing.Unknown {
		t.Errorf("the twin of what runs was told %q", response.Outcome)
	}
	if response := f.admit(ctx, &Attempt{ID: "other"}, trace.Root()); response.Outcome != routing.NotRun {
		t.Errorf("what was never begun was told %q", response.Outcome)
	}
}
