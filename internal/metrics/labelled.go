package metrics

import (
	"strings"
	"sync"
	"sync/atomic"
)

// separator stands between the label values in a key; none contains it.
const separator = "\x00"

// Labelled is a counter for each combination of one or more label values. The
// zero value is ready for use, from any goroutine.
type Labelled struct{ counters sync.Map }

// Add counts one under the label values.
func (l *Labelled) Add(labels ...string) {
	key := strings.Join(labels, separator)
	counter, ok := l.counters.Load(key)
	if !ok {
		counter, _ = l.counters.LoadOrStore(key, &atomic.Uint64{})
	}
	counter.(*atomic.Uint64).Add(1)
}

// Read reports all counters.
func (l *Labelled) Read(emit Emit) {
	l.counters.Range(func(key, counter any) bool {
		emit(float64(counter.(*atomic.Uint64).Load()), strings.Split(key.(string), separator)...)
		return true
	})
}
