package endpoints

import (
	"fmt"
	"testing"
	"time"

	"curlewwalk/internal/membership"
)

// TestRecordedDeparture guards against an announcement that revives a backend whose departure only the
// control state has: in either order of the two, the backend gets no requests.
func TestRecordedDeparture(t *testing.T) {
	now := time.Now()
	announced, a := registryWithBackend(t, 7, now)
	if after := announced.WithRecorded([]string{"a"}); isAdmitted(after, "a", now) || after.Version == announced.Version {
		t.Error("admitted although its departure was recorded after its announcement, or not reported to others")
	}
	recorded := Registry{}.WithRecorded([]string{"a"})
	after, _ := recorded.Announce(a, "north", now)
	if isAdmitted(after, "a", now) {
		t.Error("admitted although its departure was recorded before its announcement")
	}
	if b, _ := recorded.Announce(Announcement{Instance: "b", Service: "s", Address: a.Address, Capacity: 9}, "north", now); !isAdmitted(b, "b", now) {
		t.Error("another instance is not admitted")
	}
}

// TestUnrecordedDepartures checks that a sidecar reports its departures until the control state records
// them, however many there are: those that one heartbeat has no room for follow when others are recorded.
func TestUnrecordedDepartures(t *testing.T) {
	var r Registry
	const count = 3 * membership.MaxReportedDepartures
	for i := range count {
		r = r.MarkDeparted(fmt.Sprint(i))
	}
	var recorded []string
	for len(recorded) < count {
		reported := r.UnrecordedDepartures()
		if len(reported) == 0 {
			t.Fatalf("%d of %d departures were reported", len(recorded), count)
		}
		version := r.Version
		recorded = append([]string{}, append(recorded, reported...)...)
		r = r.WithRecorded(recorded)
		if len(recorded) < count && r.Version == version {
			t.Fatal("the next departures are not reported: the version is unchanged")
		}
	}
	if reported := r.UnrecordedDepartures(); len(reported) != 0 {
		t.Errorf("recorded departures %v are still reported", reported)
	}
}
