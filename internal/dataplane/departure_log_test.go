package dataplane

import (
	"slices"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
)

// TestDepartureLogOfAnnouncements checks that an announcement is recorded as the event that
// describes its effect, and that an announcement that is applied normally is not recorded.
func TestDepartureLogOfAnnouncements(t *testing.T) {
	now := time.Now()
	announcement := func(sequence uint64, draining bool) endpoints.Announcement {
		return endpoints.Announcement{Instance: "a", Service: "orders", Address: "10.0.0.1:8000", Capacity: 1, Sequence: sequence, Draining: draining}
	}
	announced, faults := endpoints.Registry{Started: now}.Announce(announcement(2, false), "north", now)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for name, c := range map[string]struct {
		before       endpoints.Registry
		announcement endpoints.Announcement
		event        string // "" for none
	}{
		"first announcement":                 {endpoints.Registry{Started: now}, announcement(1, false), ""},
		"next announcement":                  {announced, announcement(3, false), ""},
		"backend starts draining":            {announced, announcement(3, true), "leaving"},
		"departed backend repeats draining":  {announced.MarkDeparted("a"), announcement(3, true), ""},
		"departed backend announces itself":  {announced.MarkDeparted("a"), announcement(3, false), "late"},
		"superseded by a later announcement": {announced, announcement(1, false), "overtaken"},
		"earlier announcements are missing":  {endpoints.Registry{Started: now.Add(-time.Hour)}, announcement(9, false), "doubted"},
	} {
		t.Run(name, func(t *testing.T) {
			log, logged := newTestDepartureLog()
			after, faults := c.before.Announce(c.announcement, "north", now)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			log.observeAnnouncement(c.announcement, c.before, after)
			checkLogged(t, log, *logged, c.event)
		})
	}
}

// TestDepartureLogOfRemovals checks that the removal of a backend is recorded once, also if
// the backend is not registered.
func TestDepartureLogOfRemovals(t *testing.T) {
	for name, c := range map[string]struct {
		known, alreadyDeparted bool
		event                  string // "" for none
	}{
		"registered backend":            {known: true, event: "leaving"},
		"unregistered backend":          {event: "unknown-left"},
		"unregistered departed backend": {alreadyDeparted: true},
		"registered departed backend":   {known: true, alreadyDeparted: true},
	} {
		t.Run(name, func(t *testing.T) {
			log, logged := newTestDepartureLog()
			log.observeRemoval("a", c.known, c.alreadyDeparted)
			checkLogged(t, log, *logged, c.event)
		})
	}
}

// newTestDepartureLog returns a departure log and the names of the events that it logs.
func newTestDepartureLog() (log *departureLog, logged *[]string) {
	logged = &[]string{}
	return &departureLog{notice: func(_ string, attributes ...any) {
		for i := 0; i+1 < len(attributes); i += 2 {
			if attributes[i] == "event" {
				*logged = append(*logged, attributes[i+1].(string))
			}
		}
	}}, logged
}

// checkLogged checks that the event, and no other one, was logged and counted. If event is
// "", no event must have been recorded.
func checkLogged(t *testing.T, log *departureLog, logged []string, event string) {
	t.Helper()
	var want []string
	if event != "" {
		want = []string{event}
	}
	if !slices.Equal(logged, want) {
		t.Errorf("logged events %q, want %q", logged, want)
	}
	for counted, name := range departureEventNames {
		if got := log.counts[counted].Load(); got != 0 != (name == event) {
			t.Errorf("event %q was counted %d times", name, got)
		}
	}
}
