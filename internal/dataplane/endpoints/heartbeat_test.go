package endpoints

import (
	"fmt"
	"testing"
	"time"
)

// TestHeartbeatPolicy checks that the heartbeat interval determines how long a silent backend is
// admitted and stays in the registry, and that all changes of the registry preserve the interval.
func TestHeartbeatPolicy(t *testing.T) {
	for interval, freshness := range map[time.Duration]time.Duration{0: 1500 * time.Millisecond, 100 * time.Millisecond: 300 * time.Millisecond, time.Second: 3 * time.Second} {
		t.Run(fmt.Sprint("interval ", interval), func(t *testing.T) {
			begin := time.Now()
			r := Registry{Heartbeats: HeartbeatPolicy{Interval: interval}}
			for _, name := range []string{"b", "a"} {
				var faults []string
				if r, faults = r.Announce(Announcement{Instance: name, Service: "s", Address: "127.0.0.1:" + string(name[0]-'a'+'1'), Capacity: 1}, "north", begin); len(faults) > 0 {
					t.Fatal(faults)
				}
			}
			r = r.MarkDeparted("b")
			r = r.ScaleShares(&fixedWarmup{}, begin).ExpireSilent(begin)
			for after, want := range map[time.Duration]Rejection{freshness: Admitted, freshness + 1: HeartbeatExpired} {
				if _, rejection := r.Admit(AdmissionRequest{Service: "s", Instance: "a"}, func(string) bool { return false }, begin.Add(after)); rejection != want {
					t.Errorf("after %v: got rejection %q, want %q", after, rejection, want)
				}
			}
			removeAfter := freshness / 3 * 10
			if n := len(r.ExpireSilent(begin.Add(removeAfter)).Endpoints()); n != 2 {
				t.Errorf("got %d endpoints after %v, want 2", n, removeAfter)
			}
			if n := len(r.ExpireSilent(begin.Add(removeAfter + 1)).Endpoints()); n != 0 {
				t.Errorf("got %d endpoints after more than %v, want 0", n, removeAfter)
			}
		})
	}
}
