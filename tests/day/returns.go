package day

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"curlewwalk/tests/fakes"
)

// checkAgain is how long a check that failed waits before it is made again.
const checkAgain = 20 * time.Millisecond

// returnWait waits for the return of service after an event, by checks that are
// made side by side.
type returnWait struct {
	day   *Day
	after string
	begin time.Time
	all   sync.WaitGroup
	// mu guards what the checks write into the day.
	mu sync.Mutex
}

// untilServed waits until one request of a plan succeeds from a machine.
func (w *returnWait) untilServed(machine int, p fakes.Plan) {
	d := w.day
	d.serial++
	caller := d.F.NewCaller(machine, 1)
	caller.Name = fmt.Sprintf("check-%d", d.serial)
	w.until(p.Name, fmt.Sprintf("from machine %d", machine), func() bool {
		answer := caller.Once(d.ctx, p)
		return answer.Status == http.StatusOK && answer.Outcome == ""
	})
}

// until makes a check again and again until it succeeds, and keeps how long that
// took; or tells that it did not in twice the time allowed.
func (w *returnWait) until(kind, what string, ok func() bool) {
	w.all.Go(func() {
		d := w.day
		for !ok() {
			if time.Since(w.begin) > 2*returnWithin || d.ctx.Err() != nil {
				w.mu.Lock()
				defer w.mu.Unlock()
				d.wrong("%s: %s %s does not return", w.after, kind, what)
				return
			}
			d.pause(checkAgain)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		d.back[kind] = append(d.back[kind], time.Since(w.begin))
	})
}
