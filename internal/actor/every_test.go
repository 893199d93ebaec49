package actor

import (
	"context"
	"testing"
	"time"
)

// Every calls again and again, and returns once the context has ended.
func TestEvery(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const wanted = 3
	calls := 0
	Every(ctx, time.Millisecond, func(context.Context) {
		if calls++; calls == wanted {
			cancel()
		}
	})
	if calls < wanted {
		t.Errorf("%d calls before the end, want %d", calls, wanted)
	}
	if ctx.Err() == nil {
		t.Error("Every returned although its context goes on")
	}
}
