package proxy

import (
	"context"
	"testing"
	"time"
)

// An attempt begins once; one that was refused or canceled before never begins; one that has
// begun can't be refused any more.
func TestLedger(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	l := newAttemptLogActor()
	go l.run(ctx)
	if !l.begin(ctx, "a") || l.begin(ctx, "a") {
		t.Error("an attempt must begin once")
	}
	if l.refuse(ctx, "a") {
		t.Error("an attempt that has begun was refused")
	}
	for range 2 {
		if !l.refuse(ctx, "b") {
			t.Error("an attempt that was never seen could not be refused")
		}
	}
	if l.begin(ctx, "b") {
		t.Error("a refused attempt began")
	}
	cancel()
	if l.begin(ctx, "c") {
		t.Error("an attempt began without a log")
	}
}

// The request target that net/http writes is the client's, byte for byte.
func TestTarget(t *testing.T) {
	for _, uri := range []string{"/", "/a%2Fb", "/a//b?x=%20", "//two/slashes?q", "//two?", "/?", "*", "/%e2%82%ac", "http://host/path?q=1"} {
		if got := requestTargetURL("127.0.0.1:1", uri).RequestURI(); got != uri {
			t.Errorf("%q became %q", uri, got)
		}
	}
}
