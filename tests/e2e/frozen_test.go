package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

// orderCounter is a backend that counts how often each order ran, by its body.
type orderCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP runs an order.
func (o *orderCounter) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	o.mu.Lock()
	o.runs[string(b)]++
	o.mu.Unlock()
	io.WriteString(w, "done "+string(b))
}

// runsOf is how often an order ran.
func (o *orderCounter) runsOf(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[id]
}

// The sidecar beside the backend is frozen for shorter and longer than a connection tolerates, with
// attempts in its buffers, and woken. What was promised not to run never runs, and nothing runs twice,
// whatever it finds there: the attempt, its cancellation, or the end of the connection.
func TestInboundSidecarFrozen(t *testing.T) {
	t.Parallel()
	for _, frozen := range []time.Duration{700 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second} {
		t.Run(frozen.String(), func(t *testing.T) {
			t.Parallel()
			testInboundFrozen(t, frozen)
		})
	}
}

// testInboundFrozen freezes the inbound sidecar for so long while orders are sent.
func testInboundFrozen(t *testing.T, frozen time.Duration) {
	t.Helper()
	r := newRig(t)
	orders := &orderCounter{runs: map[string]int{}}
	r.backend(1, orders)
	r.send("POST", "/once/", "warm")
	r.Sidecars[1].Signal(syscall.SIGSTOP)
	since := time.Now()
	const sent = 40
	answers := make([]answer, sent)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = r.send("POST", "/once/", orderID(i)) })
	}
	awaitElapsed(r.ctx, t, since, frozen)
	r.Sidecars[1].Signal(syscall.SIGCONT)
	all.Wait()
	// Once it serves again and nothing is open, what was in its buffers is done.
	must(t, fleet.Await(r.ctx, "the woken sidecar to serve", func(context.Context) bool { return r.send("GET", "/look/", "").StatusCode == 200 }))
	r.awaitStats(1, "nothing to be open", func(s sidecarStats) bool { return s.Inbound.Open == 0 })
	counts := map[string]int{}
	for i, a := range answers {
		outcome, ran := a.Header.Get(outcomeHeader), orders.runsOf(orderID(i))
		counts[fmt.Sprint(a.StatusCode, " ", outcome, " ran ", ran)]++
		switch {
		case outcome == "" && string(a.body) != "done "+orderID(i):
			t.Errorf("%s got %d %q", orderID(i), a.StatusCode, a.body)
		case outcome == ledger.OutcomeUnknown && a.StatusCode == http.StatusServiceUnavailable:
			t.Errorf("%s: 503 for an unknown outcome: %s", orderID(i), a.body)
		}
		if ran > 1 || ran > 0 && outcome == ledger.OutcomeNotRun || ran != 1 && outcome == "" {
			t.Errorf("%s: %d %q, ran %d times", orderID(i), a.StatusCode, outcome, ran)
		}
	}
	t.Logf("frozen for %v: %v", frozen, counts)
}

// orderID is the body of the ith order.
func orderID(i int) string { return fmt.Sprint("order ", i) }

// The sidecar beside the client is frozen for longer than a connection may be silent, while it is
// answered. Once woken it passes the answers on.
func TestOutboundSidecarFrozen(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	running, release := make(chan struct{}, 20), make(chan struct{})
	r.backend(1, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		running <- struct{}{}
		<-release
		io.WriteString(w, "done "+string(b))
	}))
	// The deadline is 3 s: half a second is left for the answers after the freeze. A backend
	// of 9 is given half just after its sidecar's start.
	const frozen, orders = 2400 * time.Millisecond, 4
	var all sync.WaitGroup
	for i := range orders {
		all.Go(func() {
			a := r.send("POST", "/once/", fmt.Sprint("order ", i))
			if a.StatusCode != 200 || string(a.body) != fmt.Sprint("done order ", i) {
				t.Errorf("order %d: %d %s after %v", i, a.StatusCode, a.body, a.took)
			}
		})
	}
	for range orders {
		receive(r, running)
	}
	r.Sidecars[0].Signal(syscall.SIGSTOP)
	since := time.Now()
	close(release)
	awaitElapsed(r.ctx, t, since, frozen)
	r.Sidecars[0].Signal(syscall.SIGCONT)
	all.Wait()
}
