package dataplane

import (
	"testing"
	"time"
)

// A single change is reported at once; of a storm as many as its time allows, and the last
// one in any case.
func TestReportLimiter(t *testing.T) {
	var r reportLimiter
	now := time.Unix(1000, 0)
	if !r.changed(now) {
		t.Fatal("a single change was not reported at once")
	}
	reported, last, newest := 0, 0, 0
	const step, storm = 10 * time.Millisecond, 3 * time.Second
	for at := step; at < storm+2*reportInterval; at += step {
		now = now.Add(step)
		due := false
		if at < storm && at%(90*time.Millisecond) == 0 {
			newest++
			due = r.changed(now)
		} else if at%(100*time.Millisecond) == 0 {
			due = r.tick(now)
		}
		if due {
			reported, last = reported+1, newest
		}
	}
	if most := int(storm/reportInterval) + 1; reported > most || last != newest {
		t.Errorf("%d of %d changes were reported, the newest reported is %d", reported, newest, last)
	}
	if now = now.Add(time.Second); !r.changed(now) {
		t.Error("a change after the storm was not reported at once")
	}
}
