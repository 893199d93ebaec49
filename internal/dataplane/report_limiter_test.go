package dataplane

import (
	"testing"
	"time"
)

// TestReportLimiter checks that a single change is reported immediately. In a burst of
// changes, the number of reports must stay within the limit, and the last change must be
// reported.
func TestReportLimiter(t *testing.T) {
	var r reportLimiter
	now := time.Unix(1000, 0)
	if !r.changed(now) {
		t.Fatal("a single change was not reported at once")
	}
	reported, last, newest := 0, 0, 0
	const step, burst = 10 * time.Millisecond, 3 * time.Second
	for at := step; at < burst+2*reportInterval; at += step {
		now = now.Add(step)
		due := false
		if at < burst && at%(90*time.Millisecond) == 0 {
			newest++
			due = r.changed(now)
		} else if at%(100*time.Millisecond) == 0 {
			due = r.tick(now)
		}
		if due {
			reported, last = reported+1, newest
		}
	}
	if maxReports := int(burst/reportInterval) + 1; reported > maxReports || last != newest {
		t.Errorf("%d of %d changes were reported, the last of them number %d; want no more reports than the limit allows, and the newest change reported last", reported, newest, last)
	}
	if now = now.Add(time.Second); !r.changed(now) {
		t.Error("a change after the burst was not reported at once")
	}
}
