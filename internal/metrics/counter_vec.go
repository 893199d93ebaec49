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
type CounterVec struct{ counters sync.Map } // of *atomic.Uint64, by the joined labels

// Inc counts one under the label values, which must always be as many.
func (v *CounterVec) Inc(labels ...string) {
	key := strings.Join(labels, separator)
	counter, ok := v.counters.Load(key)
	if !ok {
		counter, _ = v.counters.LoadOrStore(key, &atomic.Uint64{})
	}
	counter.(*atomic.Uint64).Add(1)
}

// Collect is a ReadFunc of all counters.
func (v *CounterVec) Collect(emit EmitFunc) {
	v.counters.Range(func(key, counter any) bool {
		emit(float64(counter.(*atomic.Uint64).Load()), strings.Split(key.(string), separator)...)
		return true
	})
}
