package routing

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// Where no sidecar is sure of the newest word, a request is refused at once, after two
// have said so, and told when to come back; where the own one is sure, or not all
// others are unsure, it goes on to those that may admit it.
func TestRefusedAtOnceWhileUnsure(t *testing.T) {
	at := backendSpecs{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		at[name] = struct {
			zone  string
			takes time.Duration
		}{"north", 10 * time.Millisecond}
	}
	table, _ := NewTable(config.ControlState{})
	for name, c := range map[string]struct {
		unsure   bool
		sure     int // the how manieth sidecar that is asked admits; 0: none
		attempts int
	}{
		"nobody is sure":               {true, 0, maxExpiredLeases},
		"the own one is":               {false, 0, maxAttemptsAtAll},
		"the second one that is asked": {true, 2, 2},
		"the own one and the sixth":    {false, 6, 6},
	} {
		s, now := newSite(at), time.Now()
		d := Decision{
			Route: config.Route{Name: "w", Service: "s"}, Deadline: now.Add(time.Minute), Zone: "north", Rand: rand.New(rand.NewPCG(1, 1)),
			Conditions: Conditions{
				TargetTime: now.Add(time.Second), MaxLateness: time.Minute, LatenessBudget: time.Minute, AcceptLate: true, WaitUntil: now.Add(time.Minute),
				Latency:                  func(target membership.Target) LatencyHistogram { return s.latencies.Estimate("w", target) },
				ConfigurationUnconfirmed: func() bool { return c.unsure }, SpendRetry: func() bool { return true },
			},
		}
		action := d.Next(table, s.view, now)
		for action.Kind == Send && len(d.Attempts()) < 20 {
			l := AttemptResult{Target: action.Target, Outcome: NotRun, LeaseExpired: true}
			if len(d.Attempts())+1 == c.sure {
				l = AttemptResult{Target: action.Target, Outcome: Answered, ReachedBackend: true}
			}
			d.Record(l)
			action = d.Next(table, s.view, now)
		}
		if len(d.Attempts()) != c.attempts || action.Kind == Wait {
			t.Errorf("%s: %d legs, then waits %v", name, len(d.Attempts()), action.Wait)
		}
		if c.sure == 0 && (action.Failure.Status != http.StatusServiceUnavailable || action.Failure.Outcome != NotRun || action.Failure.RetryAfter <= 0) {
			t.Errorf("%s: %+v", name, action.Failure)
		}
	}
}
