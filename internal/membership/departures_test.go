package membership

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Departures are bounded by number: the newest stay. Earlier values do not change.
func TestDepartures(t *testing.T) {
	var d Departures
	for i := range MaxDepartures + 10 {
		before, have := d, len(d.List())
		next, changed := d.Add(fmt.Sprint(i))
		if !changed || len(before.List()) != have || before.Contains(fmt.Sprint(i)) {
			t.Fatalf("%d: changed %v, the earlier value has %d", i, changed, len(before.List()))
		}
		d = next
	}
	if got := len(d.List()); got != MaxDepartures || d.Contains("9") || !d.Contains("10") {
		t.Errorf("%d are kept", got)
	}
	if _, changed := d.Add("10", fmt.Sprint(MaxDepartures)); changed {
		t.Error("what is known changes it")
	}
	if got := d.Without(d.List()[1:]); cmp.Diff([]string{"10"}, got) != "" {
		t.Errorf("without the others there are %v", got)
	}
}
