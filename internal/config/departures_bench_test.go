package config

import (
	"bytes"
	"fmt"
	"testing"
)

// BenchmarkDepartureVersion measures what one more recorded departure costs a replica that serves
// watchers: the encoding of the control state and its difference to the previous one, at the size of the
// users' target. It reports the size of the difference in bytes.
func BenchmarkDepartureVersion(b *testing.B) {
	const configurationSize = 591_000 // 3,000 services
	var instances []string
	for i := range MaxDepartures {
		instances = append(instances, fmt.Sprintf("i-%010x", i*2654435761))
	}
	state := ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: bytes.Repeat([]byte("0123456789"), configurationSize/10)}.WithDepartures(instances)
	previous, _ := NewVersion(state)
	size := 0
	for i := range b.N {
		state = state.WithDepartures([]string{fmt.Sprintf("i-%010x", (MaxDepartures+i)*2654435761)})
		state.Revision++
		next, _ := NewVersion(state)
		patch, _ := next.DiffFrom(previous)
		size = len(patch.Delta)
		previous = next
	}
	b.ReportMetric(float64(size), "patch-B")
}
