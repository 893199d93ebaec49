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
	l := actor.New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	f := NewFar(ctx, l)
	f.Bodies, f.Draining = &Bodies{}, func() bool { return true }
	if !f.ledger.ask(ctx, f.ledger.begin, "first") {
		t.Fatal("the first did not begin")
	}
	if rc := f.carry(ctx, Attempt{ID: "first"}, trace.Root()); rc.Fate != routing.Unknown {
		t.Errorf("the twin of what runs was told %q", rc.Fate)
	}
	if rc := f.carry(ctx, Attempt{ID: "other"}, trace.Root()); rc.Fate != routing.NotRun {
		t.Errorf("what was never begun was told %q", rc.Fate)
	}
}
