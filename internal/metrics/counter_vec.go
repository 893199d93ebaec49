package metrics

import (
	"strings"
	"sync"
	"sync/atomic"
)

// separator stands between the label values in a key; none contains it.
const separator = "\x00"

// CounterVec is a counter for each combination of one or more label values. The
// zero value is ready for use, from any goroutine.
type CounterVec struct{ counters sync.Map }

// Inc counts one under the label values.
func (v *CounterVec) Inc(labels ...string) {
	joined := strings.Join(labels, separator)
	counter, ok := v.counters.Load(joined)
	if !ok {
		counter, _ = v.counters.LoadOrStore(joined, &atomic.Uint64{})
	}
	counter.(*atomic.Uint64).Add(1)
}

// Collect reports all counters.
func (v *CounterVec) Collect(emit EmitFunc) {
	v.counters.Range(func(key, counter any) bool {
		emit(float64(counter.(*atomic.Uint64).Load()), strings.Split(key.(string), separator)...)
		return true
	})
}
