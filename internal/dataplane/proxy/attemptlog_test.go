package proxy

import (
	"context"
	"testing"
	"time"
)

// TestAttemptLog checks that an attempt begins once, that a refused or canceled attempt never
// begins, and that an attempt that has begun cannot be refused.
func TestAttemptLog(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	log := newAttemptLogActor()
	go log.run(ctx)
	if !log.begin(ctx, "a") || log.begin(ctx, "a") {
		t.Error("the attempt did not begin exactly once")
	}
	if log.refuse(ctx, "a") {
		t.Error("an attempt that has begun was refused")
	}
	for range 2 {
		if !log.refuse(ctx, "b") {
			t.Error("an unknown attempt could not be refused")
		}
	}
	if log.begin(ctx, "b") {
		t.Error("a refused attempt began")
	}
	cancel()
	if log.begin(ctx, "c") {
		t.Error("an attempt began after the log had stopped")
	}
}
