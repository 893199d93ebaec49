package day

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"curlewwalk/tests/fakes"
)

// recheckInterval is the delay before a failed check is repeated.
const recheckInterval = 20 * time.Millisecond

// recoveryWait waits until service has recovered after an event. Its checks run in parallel.
type recoveryWait struct {
	day    *Day
	event  string
	begin  time.Time
	checks sync.WaitGroup
	// mu guards the fields of the day that the checks write.
	mu sync.Mutex
}

// startRequestCheck starts a check that a request of a plan succeeds from a machine.
func (w *recoveryWait) startRequestCheck(machine int, p fakes.RequestPlan) {
	d := w.day
	d.serial++
	client := d.Fleet.NewClient(machine, 1)
	client.Name = fmt.Sprintf("check-%d", d.serial)
	w.startCheck(p.Name, fmt.Sprintf("from machine %d", machine), func() bool {
		answer := client.SendOne(d.ctx, p)
		return answer.Status == http.StatusOK && answer.Outcome == ""
	})
}

// startCheck starts a goroutine that repeats a check until it succeeds and records the time that this
// took. After twice the recovery limit, the goroutine records a breach and stops.
func (w *recoveryWait) startCheck(kind, place string, ok func() bool) {
	w.checks.Go(func() {
		d := w.day
		for !ok() {
			if time.Since(w.begin) > 2*recoveryLimit || d.ctx.Err() != nil {
				w.mu.Lock()
				defer w.mu.Unlock()
				d.breach("%s: %s %s did not recover", w.event, kind, place)
				return
			}
			d.sleep(recheckInterval)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		d.recoveries[kind] = append(d.recoveries[kind], time.Since(w.begin))
	})
}
