package endpoints

import (
	"testing"
	"time"
)

// How long a silent backend is given something, and remembered, follows from its beat,
// through all that happens to the roster.
func TestHeartbeatPolicy(t *testing.T) {
	for beat, fresh := range map[time.Duration]time.Duration{0: 1500 * time.Millisecond, 100 * time.Millisecond: 300 * time.Millisecond, time.Second: 3 * time.Second} {
		begin := time.Now()
		r := Registry{Heartbeats: HeartbeatPolicy{Interval: beat}}
		for _, name := range []string{"b", "a"} {
			var faults []string
			if r, faults = r.Announce(Announcement{Instance: name, Service: "s", Address: "127.0.0.1:" + string(name[0]-'a'+'1'), Capacity: 1}, "north", begin); len(faults) > 0 {
				t.Fatal(faults)
			}
		}
		r = r.MarkDeparted("b")
		r = r.ScaleShares(func(string) float64 { return 0 }, begin).ExpireSilent(begin)
		for after, want := range map[time.Duration]Rejection{fresh: Admitted, fresh + 1: HeartbeatExpired} {
			if _, why := r.Admit(AdmissionRequest{Service: "s", Instance: "a"}, func(string) bool { return false }, begin.Add(after)); why != want {
				t.Errorf("beat %v, after %v: %q, want %q", beat, after, why, want)
			}
		}
		forget := fresh / 3 * 10
		if n := len(r.ExpireSilent(begin.Add(forget)).Endpoints()); n != 2 {
			t.Errorf("beat %v: %d are known after %v", beat, n, forget)
		}
		if n := len(r.ExpireSilent(begin.Add(forget + 1)).Endpoints()); n != 0 {
			t.Errorf("beat %v: %d are known after more than %v", beat, n, forget)
		}
	}
}
