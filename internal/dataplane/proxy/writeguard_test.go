package proxy

import (
	"sync"
	"testing"

	"curlewwalk/internal/dataplane/endpoints"
)

// TestWriteGuard checks that exactly one of a concurrent write and close succeeds, in any
// interleaving. It also checks that an attempt is not written if its guard is closed during the
// admission check, whatever the check returns.
func TestWriteGuard(t *testing.T) {
	admitted := func() refusal { return refusal{} }
	written, closed := 0, 0
	for range 20000 {
		g := &writeGuard{check: admitted}
		var wroteFirst, closedFirst bool
		var racers sync.WaitGroup
		racers.Go(func() { wroteFirst = g.allowWrite() })
		racers.Go(func() { closedFirst = g.close() })
		racers.Wait()
		if wroteFirst == closedFirst {
			t.Fatalf("write allowed: %v, close succeeded: %v, want exactly one", wroteFirst, closedFirst)
		}
		if wroteFirst {
			written++
		} else {
			closed++
		}
	}
	t.Logf("%d times the write was first, %d times the close", written, closed)

	g := &writeGuard{}
	g.check = func() refusal {
		if !g.close() {
			t.Error("guard could not be closed before the write")
		}
		return refusal{}
	}
	if g.allowWrite() {
		t.Error("write was allowed after the guard was closed")
	}

	g = &writeGuard{check: func() refusal { return refusal{rejection: endpoints.BackendDraining} }}
	if g.allowWrite() || g.refusal.Load().rejection != endpoints.BackendDraining || !g.close() || g.allowWrite() {
		t.Error("guard did not refuse an attempt that is not admitted")
	}
}
