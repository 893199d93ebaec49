package proxy

import (
	"context"
	"testing"
	"time"
)

// An attempt begins once; one that was refused or canceled before never begins; one that has
// begun can't be refused any more.
func TestAttemptLog(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	log := newAttemptLogActor()
	go log.run(ctx)
	if !log.begin(ctx, "a") || log.begin(ctx, "a") {
		t.Error("an attempt must begin once")
	}
	if log.refuse(ctx, "a") {
		t.Error("an attempt that has begun was refused")
	}
	for range 2 {
		if !log.refuse(ctx, "b") {
			t.Error("an attempt that was never seen could not be refused")
		}
	}
	if log.begin(ctx, "b") {
		t.Error("a refused attempt began")
	}
	cancel()
	if log.begin(ctx, "c") {
		t.Error("an attempt began without a log")
	}
}
