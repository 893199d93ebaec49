package day

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"curlewwalk/tests/fakes"
)

// recheckInterval is how long a check that failed waits before it is made again.
const recheckInterval = 20 * time.Millisecond

// recoveryWait waits for the return of service after an event, by checks that run in parallel.
type recoveryWait struct {
	day    *Day
	event  string
	begin  time.Time
	checks sync.WaitGroup
	// mu guards what the checks write to the day.
	mu sync.Mutex
}

// untilServed waits until one request of a plan succeeds from a machine.
func (w *recoveryWait) untilServed(machine int, p fakes.RequestPlan) {
	d := w.day
	d.serial++
	caller := d.Fleet.NewClient(machine, 1)
	caller.Name = fmt.Sprintf("check-%d", d.serial)
	w.until(p.Name, fmt.Sprintf("from machine %d", machine), func() bool {
		answer := caller.SendOne(d.ctx, p)
		return answer.Status == http.StatusOK && answer.Outcome == ""
	})
}

// until makes a check again and again until it succeeds, and records how long that took. It gives up after
// twice the time allowed.
func (w *recoveryWait) until(kind, what string, ok func() bool) {
	w.checks.Go(func() {
		d := w.day
		for !ok() {
			if time.Since(w.begin) > 2*recoveryLimit || d.ctx.Err() != nil {
				w.mu.Lock()
				defer w.mu.Unlock()
				d.breach("%s: %s %s does not return", w.event, kind, what)
				return
			}
			d.sleep(recheckInterval)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		d.recoveries[kind] = append(d.recoveries[kind], time.Since(w.begin))
	})
}
