package metrics

import (
	"strings"
	"sync"
	"sync/atomic"
)

// separator joins the label values in a key. No label value contains it.
const separator = "\x00"

// CounterVec contains a counter for each combination of one or more label
// values. The zero value is ready for use. It is safe for concurrent use.
type CounterVec struct{ counters sync.Map } // joined label values -> *atomic.Uint64

// Inc increments the counter of the given label values. The number of label
// values must be the same in every call.
func (v *CounterVec) Inc(labels ...string) {
	key := strings.Join(labels, separator)
	counter, ok := v.counters.Load(key)
	if !ok {
		counter, _ = v.counters.LoadOrStore(key, &atomic.Uint64{})
	}
	counter.(*atomic.Uint64).Add(1)
}

// Collect emits the value of each counter with its label values. It is a
// ReadFunc.
func (v *CounterVec) Collect(emit EmitFunc) {
	v.counters.Range(func(key, counter any) bool {
		emit(float64(counter.(*atomic.Uint64).Load()), strings.Split(key.(string), separator)...)
		return true
	})
}
