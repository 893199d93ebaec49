package dataplane

import (
	"testing"
	"time"
)

// TestPendingDepartures checks that a departure is answered exactly once: as recorded once the control
// state records it, or as not recorded after acknowledgeTimeout.
func TestPendingDepartures(t *testing.T) {
	now := time.Now()
	var p pendingDepartures
	answers := map[string][]bool{}
	for _, instance := range []string{"a", "b", "c"} {
		p.add(instance, now, func(recorded bool) { answers[instance] = append(answers[instance], recorded) })
	}
	p.release(func(string) bool { return false })
	if len(answers) != 0 || len(p) != 3 {
		t.Fatalf("answers %v before any departure was recorded, want none and three pending", answers)
	}
	for range 2 {
		p.release(func(instance string) bool { return instance != "c" })
	}
	p.expire(now.Add(acknowledgeTimeout - 1))
	if len(answers["a"]) != 1 || !answers["a"][0] || len(answers["b"]) != 1 || !answers["b"][0] || len(answers["c"]) != 0 {
		t.Fatalf("answers %v, want a and b acknowledged once each and c pending", answers)
	}
	for range 2 {
		p.expire(now.Add(acknowledgeTimeout))
	}
	if len(answers["c"]) != 1 || answers["c"][0] || len(p) != 0 {
		t.Errorf("answers %v after acknowledgeTimeout, want c answered once as not recorded", answers)
	}
}
