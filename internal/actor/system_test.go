package actor

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"curlewwalk/internal/trace"
)

// A goroutine gets a copy of the span of the context with which it was started. The handler of an
// actor gets a copy of the span of the context with which its message was sent.
func TestSpanPropagates(t *testing.T) {
	system := New(slog.New(slog.DiscardHandler), func(name string, cause any, _ []byte) { t.Errorf("%s: %v", name, cause) })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	parent := trace.Root()
	ctx = trace.ContextWithSpan(ctx, parent)
	spans := make(chan trace.Span, 2)
	report := func(ctx context.Context) {
		span, _ := trace.SpanFromContext(ctx)
		spans <- span
	}
	system.Go(ctx, "child", report)
	mailbox := system.Spawn("actor", func(ctx context.Context, _ any) { report(ctx) })
	mailbox.Send(ctx, "work")
	for range 2 {
		select {
		case span := <-spans:
			if span.ID != parent.ID || span.Trace != parent.Trace {
				t.Errorf("got %+v, want %+v", span, parent)
			}
		case <-ctx.Done():
			t.Fatal("timed out waiting for the goroutine and the actor")
		}
	}
}

// A panic in a goroutine or in an actor is reported with its name.
func TestPanicIsReported(t *testing.T) {
	reported := make(chan string, 2)
	system := New(slog.New(slog.DiscardHandler), func(name string, _ any, _ []byte) { reported <- name })
	system.Go(context.Background(), "goroutine", func(context.Context) { panic("x") })
	system.Spawn("actor", func(context.Context, any) { panic("x") }).Send(context.Background(), 1)
	names := map[string]bool{<-reported: true, <-reported: true}
	if !names["goroutine"] || !names["actor"] {
		t.Errorf("got reports of %v, want goroutine and actor", names)
	}
}
