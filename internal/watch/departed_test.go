package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/membership"
)

// What a sidecar told of departures is told to the next process at its address, by a core
// that has taken the sidecar out meanwhile, or was frozen itself; followers are not told.
func TestDepartedOutlivesTheProcess(t *testing.T) {
	f, now := New(1, 0), time.Duration(0)
	first := membership.Node{Addr: "10.0.0.1:7020", Boot: 1, Rev: 4, Departed: []string{"a", "b"}}
	if got := f.Departed(first, now); len(got) != 0 {
		t.Errorf("the first is told %v", got)
	}
	f.Told(first, now)
	for _, it := range func() []Item { n, _ := f.Since(Follow{}); return n.Items }() {
		if it.Node != nil && len(it.Node.Departed) > 0 {
			t.Errorf("followers are told %v", it.Node.Departed)
		}
	}
	for now < 5*time.Second {
		now += goneAfter / 4
		f.Tick(now)
	}
	if len(f.Nodes()) != 0 {
		t.Fatal("the first is still there")
	}
	now += goneAfter
	f.Wake(now) // a gap: it was frozen
	next := membership.Node{Addr: first.Addr, Boot: 2, Rev: 1}
	if d := cmp.Diff([]string{"a", "b"}, f.Departed(next, now)); d != "" {
		t.Errorf("the next one is told: %s", d)
	}
	next.Departed = []string{"b", "c", "a"}
	if got := f.Departed(next, now); len(got) != 0 {
		t.Errorf("told what it knows: %v", got)
	}
	if got := f.Departed(membership.Node{Addr: "10.0.0.2:7020", Boot: 1}, now); len(got) != 0 {
		t.Errorf("another address is told %v", got)
	}
}

// A core's memory of departures is bounded, for each sidecar and in all.
func TestDepartedIsBounded(t *testing.T) {
	var d departed
	for i := range mostDeparted/membership.DeparturesTold + 10 {
		n := membership.Node{Addr: fmt.Sprint(i), Boot: 1}
		for k := range membership.DeparturesTold + 1 {
			n.Departed = append(n.Departed, fmt.Sprint(i, "-", k))
		}
		d.hear(n, time.Duration(i))
	}
	if d.count > mostDeparted || len(d.byNode) != mostDeparted/membership.DeparturesTold {
		t.Errorf("%d are remembered of %d sidecars", d.count, len(d.byNode))
	}
	if _, known := d.byNode["0"]; known {
		t.Error("the oldest is remembered, newer ones are not")
	}
}
