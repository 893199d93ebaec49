package causality

import (
	"context"
	"testing"
	"time"

	"curlewwalk/internal/trace"
)

// What is still running when the process's parts have ended can end as well.
func TestTrackerHasEnded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	tracker := NewTracker()
	tracker.Run(ctx)
	done := make(chan Cause)
	go func() {
		tracker.Begin(context.Background(), OpenRequest{})
		tracker.End(trace.NewID())
		done <- tracker.Link(context.Background(), "desk", "once", trace.Span{})
	}()
	select {
	case c := <-done:
		if !c.Parent.IsZero() {
			t.Errorf("%+v", c)
		}
	case <-time.After(5 * time.Second):
		t.Error("it waits for a keeper that has ended")
	}
}
