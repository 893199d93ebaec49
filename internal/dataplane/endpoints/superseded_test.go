package endpoints

import (
	"fmt"
	"testing"
	"time"
)

// TestSupersededAnnouncement checks that an announcement that was overtaken by a later one does not
// change the registry, however late it arrives. The same holds for an announcement without a
// sequence number from a departed backend.
func TestSupersededAnnouncement(t *testing.T) {
	now := time.Now()
	a := Announcement{Instance: "a", Service: "s", Address: "10.0.0.1:80", Capacity: 9, Sequence: 7}
	r, faults := Registry{}.Announce(a, "north", now)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	draining := a
	draining.Draining, draining.Sequence = true, 9
	r, _ = r.Announce(draining, "north", now)
	for _, sequence := range []uint64{8, 0} {
		for _, after := range []time.Duration{time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("sequence %d, after %v", sequence, after), func(t *testing.T) {
				superseded := a
				superseded.Sequence = sequence
				next, _ := r.Announce(superseded, "north", now.Add(after))
				if e := next.endpoints["a"]; !e.Draining || e.LastHeartbeat != now {
					t.Errorf("the superseded announcement was applied: %+v", e)
				}
			})
		}
	}
}
