package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/membership"
)

// TestDeparturesOutliveTheProcess checks that the next process at a sidecar's address receives the
// departures that the sidecar reported, even if the replica has removed the sidecar or was
// suspended meanwhile. Watchers do not receive them.
func TestDeparturesOutliveTheProcess(t *testing.T) {
	log, now := NewEventLog(1, 0), time.Duration(0)
	first := membership.Node{Addr: "10.0.0.1:7020", Incarnation: 1, Version: 4, Departed: []string{"a", "b"}}
	if got := log.ObserveDepartures(first, now); len(got) != 0 {
		t.Errorf("the first process received departures %v, want none", got)
	}
	log.ObserveNode(first, now)
	for _, event := range func() []Event { updates, _ := log.Since(Request{}); return updates.Events }() {
		if event.Node != nil && len(event.Node.Departed) > 0 {
			t.Errorf("watchers received departures %v, want none", event.Node.Departed)
		}
	}
	for now < 5*time.Second {
		now += nodeTimeout / 4
		log.Tick(now)
	}
	if len(log.Nodes()) != 0 {
		t.Fatal("the node of the first process was not removed")
	}
	now += nodeTimeout
	log.DetectPause(now) // the replica was suspended
	next := membership.Node{Addr: first.Addr, Incarnation: 2, Version: 1}
	if d := cmp.Diff([]string{"a", "b"}, log.ObserveDepartures(next, now)); d != "" {
		t.Errorf("departures received by the next process (-want +got): %s", d)
	}
	next.Departed = []string{"b", "c", "a"}
	if got := log.ObserveDepartures(next, now); len(got) != 0 {
		t.Errorf("a process that has all departures received %v, want none", got)
	}
	if got := log.ObserveDepartures(membership.Node{Addr: "10.0.0.2:7020", Incarnation: 1}, now); len(got) != 0 {
		t.Errorf("another address received departures %v, want none", got)
	}
}

// TestDeparturesAreBounded checks that the number of remembered departures is limited per sidecar
// and in total.
func TestDeparturesAreBounded(t *testing.T) {
	var d departureLog
	for i := range maxDepartures/membership.MaxReportedDepartures + 10 {
		n := membership.Node{Addr: fmt.Sprint(i), Incarnation: 1}
		for k := range membership.MaxReportedDepartures + 1 {
			n.Departed = append(n.Departed, fmt.Sprint(i, "-", k))
		}
		d.observe(n, time.Duration(i))
	}
	if d.count > maxDepartures || len(d.byNode) != maxDepartures/membership.MaxReportedDepartures {
		t.Errorf("got %d departures of %d sidecars, want at most maxDepartures, of maxDepartures/MaxReportedDepartures sidecars", d.count, len(d.byNode))
	}
	if _, known := d.byNode["0"]; known {
		t.Error("the departures of the sidecar with the oldest report were kept")
	}
}
