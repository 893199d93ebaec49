package membership

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestDepartures checks that the number of departures is limited, that the newest are kept, and
// that Add does not change earlier values.
func TestDepartures(t *testing.T) {
	var d Departures
	for i := range MaxDepartures + 10 {
		before, length := d, len(d.List())
		next, changed := d.Add(fmt.Sprint(i))
		if !changed || len(before.List()) != length || before.Contains(fmt.Sprint(i)) {
			t.Fatalf("adding %d: changed is %v, and the earlier value has %d instances", i, changed, len(before.List()))
		}
		d = next
	}
	if got := len(d.List()); got != MaxDepartures || d.Contains("9") || !d.Contains("10") {
		t.Errorf("got %d kept instances, want MaxDepartures, and these the newest", got)
	}
	if _, changed := d.Add("10", fmt.Sprint(MaxDepartures)); changed {
		t.Error("adding known instances reports a change")
	}
	if got := d.Without(d.List()[1:]); cmp.Diff([]string{"10"}, got) != "" {
		t.Errorf("Without all but the oldest instance: got %v, want [10]", got)
	}
}
