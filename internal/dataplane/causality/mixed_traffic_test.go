package causality

import (
	"math/rand/v2"
	"testing"
	"time"

	"curlewwalk/internal/trace"
)

// A backend of nine slots gets clients' requests of its own kind, and at the same address
// come its own calls and clients' requests of three kinds, one of which has less time
// left than what is open. After a while clients' requests are tied to nothing, and most
// calls to their true cause.
func TestMixedTraffic(t *testing.T) {
	clients, wrong, calls, right := 0, 0, 0, 0
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 9))
		b, base := NewCorrelator(), time.Now()
		type run struct {
			span     trace.Span
			call, to time.Duration
		}
		var open []run
		for now := time.Duration(0); now < 60*time.Second; now += time.Millisecond {
			at := base.Add(now)
			if len(open) < 9 && rng.IntN(50) == 0 {
				s, work := trace.Root(), 80*time.Millisecond+time.Duration(rng.Int64N(int64(160*time.Millisecond)))
				b.Begin(OpenRequest{Span: s, Service: "home", Route: "browse", StartedAt: at, Deadline: at.Add(1800 * time.Millisecond)})
				open = append(open, run{span: s, call: now + (work / 2).Truncate(time.Millisecond), to: now + work})
			}
			kept := open[:0]
			for _, r := range open {
				if r.call == now {
					if c := b.LinkMixed("home", "check", trace.Span{}, 500*time.Millisecond, at); now > 20*time.Second {
						calls++
						if c.Parent.ID == r.span.ID {
							right++
						}
					}
				}
				if r.to <= now {
					b.End(r.span.ID)
					continue
				}
				kept = append(kept, r)
			}
			open = kept
			for _, c := range []struct {
				route string
				left  time.Duration
			}{{"browse", 2 * time.Second}, {"lodge", 2500 * time.Millisecond}, {"quick", time.Second}} {
				if rng.IntN(60) > 0 {
					continue
				}
				if c := b.LinkMixed("home", c.route, trace.Span{}, c.left, at); now > 20*time.Second {
					clients++
					if !c.Parent.IsZero() {
						wrong++
					}
				}
			}
		}
	}
	t.Logf("%d of %d clients' inquiries tied, %d of %d calls tied rightly", wrong, clients, right, calls)
	if wrong*100 > clients || right*10 < calls*3 || calls == 0 {
		t.Errorf("%d of %d clients' inquiries tied, %d of %d calls tied rightly", wrong, clients, right, calls)
	}
}
