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

// orderCounter is a backend that counts the runs of each order. An order is identified by its body.
type orderCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP counts a run of the order in the request's body.
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

// runsOf returns the number of runs of an order.
func (o *orderCounter) runsOf(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[id]
}

// TestInboundSidecarFrozen checks that freezing an inbound sidecar does not falsify the outcomes that
// clients were told. The sidecar is frozen with attempts in its buffers, for shorter and for longer
// than a connection tolerates. When it resumes, it finds the attempt, its cancellation, or the end of
// the connection. An order whose answer says that it was not run must never run, and no order may run
// twice.
func TestInboundSidecarFrozen(t *testing.T) {
	t.Parallel()
	for _, frozen := range []time.Duration{700 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second} {
		t.Run(frozen.String(), func(t *testing.T) {
			t.Parallel()
			testInboundFrozen(t, frozen)
		})
	}
}

// testInboundFrozen sends orders while the inbound sidecar is frozen for the given time, and checks
// the answers against the runs.
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
	// Once the sidecar serves again and has no open request, it has processed its buffers.
	must(t, fleet.Await(r.ctx, "the resumed sidecar to serve", func(context.Context) bool { return r.send("GET", "/look/", "").StatusCode == 200 }))
	r.awaitStats(1, "all inbound requests to end", func(s sidecarStats) bool { return s.Inbound.Open == 0 })
	counts := map[string]int{}
	for i, a := range answers {
		outcome, ran := a.Header.Get(outcomeHeader), orders.runsOf(orderID(i))
		counts[fmt.Sprint(a.StatusCode, " ", outcome, " ran ", ran)]++
		switch {
		case outcome == "" && string(a.body) != "done "+orderID(i):
			t.Errorf("%s: got %d %q, want the backend's answer", orderID(i), a.StatusCode, a.body)
		case outcome == ledger.OutcomeUnknown && a.StatusCode == http.StatusServiceUnavailable:
			t.Errorf("%s: got 503 for an unknown outcome, want another status: %s", orderID(i), a.body)
		}
		if ran > 1 || ran > 0 && outcome == ledger.OutcomeNotRun || ran != 1 && outcome == "" {
			t.Errorf("%s: got %d with outcome %q, but it ran %d times", orderID(i), a.StatusCode, outcome, ran)
		}
	}
	t.Logf("frozen for %v: %v", frozen, counts)
}

// orderID returns the body of the ith order.
func orderID(i int) string { return fmt.Sprint("order ", i) }

// TestOutboundSidecarFrozen checks that a frozen outbound sidecar forwards answers after it resumes.
// It is frozen for longer than a connection may be silent, while the backend answers.
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
	// The deadline is 3 s, which leaves half a second for the answers after the freeze. Shortly after
	// its sidecar's start a backend of capacity 9 gets half of that, so 4 orders run at once.
	const frozen, orders = 2400 * time.Millisecond, 4
	var all sync.WaitGroup
	for i := range orders {
		all.Go(func() {
			a := r.send("POST", "/once/", fmt.Sprint("order ", i))
			if a.StatusCode != 200 || string(a.body) != fmt.Sprint("done order ", i) {
				t.Errorf("order %d: got %d %s after %v, want 200 and the backend's answer", i, a.StatusCode, a.body, a.took)
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
