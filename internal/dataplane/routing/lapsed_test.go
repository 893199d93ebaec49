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
	at := places{}
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
		"nobody is sure":               {true, 0, mostLapsed},
		"the own one is":               {false, 0, mostAsked},
		"the second one that is asked": {true, 2, 2},
		"the own one and the sixth":    {false, 6, 6},
	} {
		s, now := newSite(at), time.Now()
		d := Decision{
			Route: config.Route{Name: "w", Service: "s"}, Deadline: now.Add(time.Minute), Zone: "north", Rand: rand.New(rand.NewPCG(1, 1)),
			Means: Means{
				Aim: now.Add(time.Second), Room: time.Minute, Patience: time.Minute, Late: true, Hold: now.Add(time.Minute),
				Cost:   func(target membership.Target) Cost { return s.costs.Of("w", target) },
				Unsure: func() bool { return c.unsure }, Spend: func() bool { return true },
			},
		}
		o := d.Ask(table, s.view, now)
		for o.Send && len(d.Attempts()) < 20 {
			l := Attempt{Target: o.Target, Fate: NotRun, Lapsed: true}
			if len(d.Attempts())+1 == c.sure {
				l = Attempt{Target: o.Target, Fate: Answered, Reached: true}
			}
			d.Tell(l)
			o = d.Ask(table, s.view, now)
		}
		if len(d.Attempts()) != c.attempts || o.Wait > 0 {
			t.Errorf("%s: %d legs, then waits %v", name, len(d.Attempts()), o.Wait)
		}
		if c.sure == 0 && (o.End.Status != http.StatusServiceUnavailable || o.End.Fate != NotRun || o.End.RetryAfter <= 0) {
			t.Errorf("%s: %+v", name, o.End)
		}
	}
}
