package routing

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// TestMaxAttempts checks that a request has as many attempts as its route allows, or three if the
// route sets no bound.
func TestMaxAttempts(t *testing.T) {
	nodes := map[string]membership.Node{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		nodes[name] = membership.Node{Addr: name, Backends: []membership.Backend{{Instance: name, Service: "s", Capacity: 1, CapacityShare: 1}}}
	}
	view := membership.NewView(nodes, nil)
	table, _ := NewTable(config.ControlState{})
	for maxAttempts, want := range map[int]int{0: 3, 1: 1, 2: 2, 5: 5, 10: 6} {
		t.Run(fmt.Sprintf("max attempts %d", maxAttempts), func(t *testing.T) {
			now := time.Now()
			d := Decision{
				Route: config.Route{Name: "w", Service: "s", MaxAttempts: maxAttempts}, Deadline: now.Add(time.Second), Rand: rand.New(rand.NewPCG(1, 1)),
				Conditions: Conditions{Latency: func(membership.Target) LatencyHistogram { return LatencyHistogram{} }, WithdrawRetry: func() bool { return true }},
			}
			action := d.Next(table, view, now)
			for ; action.Kind == Send; action = d.Next(table, view, now) {
				d.Record(AttemptResult{Target: action.Target, Outcome: NotRun, ReachedBackend: true})
			}
			if action.Failure.Status != http.StatusServiceUnavailable {
				t.Errorf("the request ended with %+v, want status 503", action.Failure)
			}
			if got := len(d.Attempts()); got != want {
				t.Errorf("got %d attempts, want %d", got, want)
			}
		})
	}
}

// TestRejectedWhileUnconfirmed checks that a request is rejected with a retry time after two
// sidecars with expired leases if the configuration of this sidecar is unconfirmed too. Further
// attempts would be rejected as well, and their load would delay the confirmation. If the
// configuration of this sidecar is confirmed, or another sidecar still admits the request, the
// attempts continue.
func TestRejectedWhileUnconfirmed(t *testing.T) {
	backends := backendSpecs{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		backends[name] = backendSpec{"north", 10 * time.Millisecond}
	}
	table, _ := NewTable(config.ControlState{})
	for name, c := range map[string]struct {
		unconfirmed bool
		// admitting is the number of the attempt that is admitted, counted from 1, or 0 for none.
		admitting int
		attempts  int
	}{
		"no configuration is confirmed":                               {true, 0, maxExpiredLeases},
		"local configuration is confirmed":                            {false, 0, maxTotalAttempts},
		"second attempt is admitted":                                  {true, 2, 2},
		"local configuration is confirmed, sixth attempt is admitted": {false, 6, 6},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := newSite(backends), time.Now()
			d := Decision{
				Route: config.Route{Name: "w", Service: "s"}, Deadline: now.Add(time.Minute), Zone: "north", Rand: rand.New(rand.NewPCG(1, 1)),
				Conditions: Conditions{
					TargetTime: now.Add(time.Second), MaxLateness: time.Minute, LatenessBudget: time.Minute, AcceptLate: true, WaitUntil: now.Add(time.Minute),
					Latency:                  func(target membership.Target) LatencyHistogram { return s.latencies.Estimate("w", target) },
					ConfigurationUnconfirmed: func() bool { return c.unconfirmed }, WithdrawRetry: func() bool { return true },
				},
			}
			action := d.Next(table, s.view, now)
			for action.Kind == Send && len(d.Attempts()) < 20 {
				result := AttemptResult{Target: action.Target, Outcome: NotRun, LeaseExpired: true}
				if len(d.Attempts())+1 == c.admitting {
					result = AttemptResult{Target: action.Target, Outcome: Answered, ReachedBackend: true}
				}
				d.Record(result)
				action = d.Next(table, s.view, now)
			}
			if len(d.Attempts()) != c.attempts || action.Kind == Wait {
				t.Errorf("got %d attempts, want %d without a wait; got a wait of %v", len(d.Attempts()), c.attempts, action.Wait)
			}
			if c.admitting == 0 && (action.Failure.Status != http.StatusServiceUnavailable || action.Failure.Outcome != NotRun || action.Failure.RetryAfter <= 0) {
				t.Errorf("got failure %+v, want status 503, not run, with a retry time", action.Failure)
			}
		})
	}
}
