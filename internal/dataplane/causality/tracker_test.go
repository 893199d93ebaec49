package causality

import (
	"context"
	"testing"
	"time"

	"curlewwalk/internal/trace"
)

// TestTrackerHasEnded checks that the methods return after the end of Run, so that requests
// which are still running then can end as well.
func TestTrackerHasEnded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	tracker := NewTracker()
	tracker.Run(ctx)
	causes := make(chan Cause)
	go func() {
		tracker.Begin(context.Background(), OpenRequest{})
		tracker.End(trace.NewID())
		causes <- tracker.Link(context.Background(), "desk", "once", trace.Span{})
	}()
	select {
	case cause := <-causes:
		if !cause.Parent.IsZero() {
			t.Errorf("linked to %+v", cause)
		}
	case <-time.After(5 * time.Second):
		t.Error("it waits for a tracker that has ended")
	}
}
