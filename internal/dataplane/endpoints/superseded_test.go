package endpoints

import (
	"testing"
	"time"
)

// An announcement that was overtaken on its way, however late, tells nothing: nor does one
// that counts nothing, of a backend that has said that it leaves.
func TestSupersededAnnouncement(t *testing.T) {
	now := time.Now()
	a := Announcement{Instance: "a", Service: "s", Address: "10.0.0.1:80", Capacity: 9, Sequence: 7}
	r, faults := Registry{}.Announce(a, "north", now)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	gone, late := a, a
	gone.Draining, gone.Sequence, late.Sequence = true, 9, 8
	r, _ = r.Announce(gone, "north", now)
	for _, after := range []time.Duration{time.Millisecond, 3 * time.Second} {
		next, _ := r.Announce(late, "north", now.Add(after))
		if e := next.endpoints["a"]; !e.Draining || e.LastHeartbeat != now {
			t.Errorf("after %v an overtaken beat was taken: %+v", after, e)
		}
	}
	late.Sequence = 0
	for _, after := range []time.Duration{time.Millisecond, 3 * time.Second} {
		next, _ := r.Announce(late, "north", now.Add(after))
		if e := next.endpoints["a"]; !e.Draining || e.LastHeartbeat != now {
			t.Errorf("after %v one that does not count was taken: %+v", after, e)
		}
	}
}
