package dataplane

import (
	"slices"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/endpoints"
)

// An announcement is recorded by what it came to: nothing for one that simply counts, else
// the one event that explains it.
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
		"the first":                        {endpoints.Registry{Started: now}, announcement(1, false), ""},
		"the next":                         {announced, announcement(3, false), ""},
		"the backend is leaving":           {announced, announcement(3, true), "leaving"},
		"it is leaving, said again":        {announced.MarkDeparted("a"), announcement(3, true), ""},
		"it has left, and says otherwise":  {announced.MarkDeparted("a"), announcement(3, false), "late"},
		"a later one came before this one": {announced, announcement(1, false), "overtaken"},
		"it should have been known before": {endpoints.Registry{Started: now.Add(-time.Hour)}, announcement(9, false), "doubted"},
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

// A message of leaving is recorded once, also that of a backend that isn't known.
func TestDepartureLogOfRemovals(t *testing.T) {
	for name, c := range map[string]struct {
		known, alreadyDeparted bool
		event                  string // "" for none
	}{
		"a known backend":         {known: true, event: "leaving"},
		"an unknown backend":      {event: "unknown-left"},
		"a backend that has left": {alreadyDeparted: true},
		"one that is leaving":     {known: true, alreadyDeparted: true},
	} {
		t.Run(name, func(t *testing.T) {
			log, logged := newTestDepartureLog()
			log.observeRemoval("a", c.known, c.alreadyDeparted)
			checkLogged(t, log, *logged, c.event)
		})
	}
}

// newTestDepartureLog returns a departure log, and the events that it logs.
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

// checkLogged checks that one event was logged and counted, or none if it is "".
func checkLogged(t *testing.T, log *departureLog, logged []string, event string) {
	t.Helper()
	var want []string
	if event != "" {
		want = []string{event}
	}
	if !slices.Equal(logged, want) {
		t.Errorf("logged %q, not %q", logged, want)
	}
	for counted, name := range departureEventNames {
		if got := log.counts[counted].Load(); got != 0 != (name == event) {
			t.Errorf("%q was counted %d times", name, got)
		}
	}
}
