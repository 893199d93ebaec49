package scale

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// reached keeps when each node of a shoal first learned of what a run looks out for: a
// stamp, a node gone, a node come. Times are of the one machine's wall clock, in
// nanoseconds.
type reached struct {
	mu  sync.Mutex
	all map[string]map[string]int64
}

// lookOut forgets what was noted of a thing, and notes it from now on. Stamps are
// noted in any case.
func (r *reached) lookOut(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all[what] = map[string]int64{}
}

func (r *reached) note(what, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.all[what]
	if at == nil {
		if !strings.HasPrefix(what, "stamp ") {
			return
		}
		at = map[string]int64{}
		r.all[what] = at
	}
	if at[node] == 0 {
		at[node] = time.Now().UnixNano()
	}
}

func (r *reached) times(what string) []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Values(r.all[what]))
}
