package actor

import (
	"context"
	"testing"
	"time"
)

// Every calls its function repeatedly and returns when the context has ended.
func TestEvery(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const wantCalls = 3
	calls := 0
	Every(ctx, time.Millisecond, func(context.Context) {
		if calls++; calls == wantCalls {
			cancel()
		}
	})
	if calls < wantCalls {
		t.Errorf("got %d calls before Every returned, want at least %d", calls, wantCalls)
	}
	if ctx.Err() == nil {
		t.Error("Every returned before its context ended")
	}
}
