package proxy

import (
	"sync"
	"testing"

	"curlewwalk/internal/dataplane/endpoints"
)

// Either the write goes first or the guard is closed first, never both, however the two meet; and
// an attempt whose guard is closed while its admission is still being checked is not written,
// whatever the check says.
func TestWriteGuard(t *testing.T) {
	admitted := func() refusal { return refusal{} }
	written, closed := 0, 0
	for range 20000 {
		g := &writeGuard{check: admitted}
		var wrote, shut bool
		var both sync.WaitGroup
		both.Go(func() { wrote = g.allowWrite() })
		both.Go(func() { shut = g.close() })
		both.Wait()
		if wrote == shut {
			t.Fatalf("written %v, closed %v", wrote, shut)
		}
		if wrote {
			written++
		} else {
			closed++
		}
	}
	t.Logf("written first %d times, closed first %d", written, closed)

	g := &writeGuard{}
	g.check = func() refusal {
		if !g.close() {
			t.Error("it could not be closed before the write")
		}
		return refusal{}
	}
	if g.allowWrite() {
		t.Error("it was written after it was closed")
	}

	g = &writeGuard{check: func() refusal { return refusal{rejection: endpoints.BackendDraining} }}
	if g.allowWrite() || g.refusal.Load().rejection != endpoints.BackendDraining || !g.close() || g.allowWrite() {
		t.Error("an attempt that is not admitted was written")
	}
}
