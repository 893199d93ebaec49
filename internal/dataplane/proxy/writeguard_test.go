package proxy

import (
	"sync"
	"testing"

	"curlewwalk/internal/dataplane/endpoints"
)

// Either the write goes first or the attempt is shut first, never both, however the
// two meet; and an attempt that is shut while the gate is still being asked is not
// written, whatever the gate says.
func TestGuard(t *testing.T) {
	open := func() endpoints.Rejection { return endpoints.Admitted }
	wrote, shut := 0, 0
	for range 20000 {
		g := &writeGuard{check: open}
		var w, s bool
		var both sync.WaitGroup
		both.Go(func() { w = g.allowWrite() })
		both.Go(func() { s = g.close() })
		both.Wait()
		if w == s {
			t.Fatalf("written %v, shut %v", w, s)
		}
		if w {
			wrote++
		} else {
			shut++
		}
	}
	t.Logf("written first %d times, shut first %d", wrote, shut)

	g := &writeGuard{}
	g.check = func() endpoints.Rejection {
		if !g.close() {
			t.Error("it could not be shut before the write")
		}
		return endpoints.Admitted
	}
	if g.allowWrite() {
		t.Error("it was written after it was shut")
	}

	g = &writeGuard{check: func() endpoints.Rejection { return endpoints.BackendDraining }}
	if g.allowWrite() || *g.refusal.Load() != endpoints.BackendDraining || !g.close() || g.allowWrite() {
		t.Error("a shut gate let a write through")
	}
}
