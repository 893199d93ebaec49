package actor

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"curlewwalk/internal/trace"
)

// What a worker starts, goroutines and actors' work alike, has the worker's
// span in a slot of its own.
func TestSpanPropagates(t *testing.T) {
	system := New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s := trace.Root()
	ctx = trace.ContextWithSpan(ctx, s)
	got := make(chan trace.Span, 2)
	note := func(ctx context.Context) {
		c, _ := trace.SpanFromContext(ctx)
		got <- c
	}
	system.Go(ctx, "child", note)
	box := system.Spawn("actor", func(ctx context.Context, _ any) { note(ctx) })
	box.Send(ctx, "work")
	for range 2 {
		select {
		case c := <-got:
			if c.ID != s.ID || c.Trace != s.Trace {
				t.Errorf("got %+v, want %+v", c, s)
			}
		case <-ctx.Done():
			t.Fatal("the work was not done")
		}
	}
}

// A broken invariant in any part is told, whoever started it.
func TestPanicIsReported(t *testing.T) {
	told := make(chan string, 2)
	system := New(slog.New(slog.DiscardHandler), func(name string, _ any, _ []byte) { told <- name })
	system.Go(context.Background(), "goroutine", func(context.Context) { panic("x") })
	system.Spawn("actor", func(context.Context, any) { panic("x") }).Send(context.Background(), 1)
	names := map[string]bool{<-told: true, <-told: true}
	if !names["goroutine"] || !names["actor"] {
		t.Errorf("told of %v", names)
	}
}
