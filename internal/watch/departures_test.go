package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/membership"
)

// The departures that a sidecar reported are sent to the next process at its address, by a replica
// that has removed the sidecar meanwhile or was frozen itself; watchers do not get them.
func TestDeparturesOutliveTheProcess(t *testing.T) {
	log, now := NewEventLog(1, 0), time.Duration(0)
	first := membership.Node{Addr: "10.0.0.1:7020", Incarnation: 1, Version: 4, Departed: []string{"a", "b"}}
	if got := log.ObserveDepartures(first, now); len(got) != 0 {
		t.Errorf("the first process gets %v", got)
	}
	log.ObserveNode(first, now)
	for _, event := range func() []Event { updates, _ := log.Since(Request{}); return updates.Events }() {
		if event.Node != nil && len(event.Node.Departed) > 0 {
			t.Errorf("watchers get %v", event.Node.Departed)
		}
	}
	for now < 5*time.Second {
		now += nodeTimeout / 4
		log.Tick(now)
	}
	if len(log.Nodes()) != 0 {
		t.Fatal("the first process is still there")
	}
	now += nodeTimeout
	log.DetectPause(now) // the replica was frozen
	next := membership.Node{Addr: first.Addr, Incarnation: 2, Version: 1}
	if d := cmp.Diff([]string{"a", "b"}, log.ObserveDepartures(next, now)); d != "" {
		t.Errorf("the next process gets: %s", d)
	}
	next.Departed = []string{"b", "c", "a"}
	if got := log.ObserveDepartures(next, now); len(got) != 0 {
		t.Errorf("gets what it has: %v", got)
	}
	if got := log.ObserveDepartures(membership.Node{Addr: "10.0.0.2:7020", Incarnation: 1}, now); len(got) != 0 {
		t.Errorf("another address gets %v", got)
	}
}

// The number of remembered departures is bounded, for each sidecar and in all.
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
		t.Errorf("%d are remembered of %d sidecars", d.count, len(d.byNode))
	}
	if _, known := d.byNode["0"]; known {
		t.Error("the oldest is remembered, newer ones are not")
	}
}
