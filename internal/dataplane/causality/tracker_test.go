package causality

import (
	"context"
	"testing"
	"time"

	"curlewwalk/internal/trace"
)

// TestTrackerMethodsReturnAfterRun checks that the methods return after Run has ended.
// Otherwise requests that are still running when the sidecar stops would block forever.
func TestTrackerMethodsReturnAfterRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	tracker := NewTracker()
	tracker.Run(ctx)
	causes := make(chan Cause)
	go func() {
		tracker.Begin(context.Background(), OpenRequest{})
		tracker.End(trace.NewID())
		causes <- tracker.Link(context.Background(), "orders", "call", trace.Span{})
	}()
	select {
	case cause := <-causes:
		if !cause.Parent.IsZero() {
			t.Errorf("linked to %+v, want no parent", cause)
		}
	case <-time.After(5 * time.Second):
		t.Error("the methods did not return within 5 s after Run had ended")
	}
}
