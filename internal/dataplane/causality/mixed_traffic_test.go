package causality

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"curlewwalk/internal/trace"
)

// mixedCounts counts the links made in a run of mixedBackend.
type mixedCounts struct{ clients, linkedClients, calls, correctCalls int }

// TestMixedTraffic simulates a backend that processes nine requests concurrently and whose
// calls arrive at the same address as requests from clients. After a learning period, at most
// 1% of the clients' requests may be linked to a cause, and at least 30% of the calls must be
// linked to their true cause.
func TestMixedTraffic(t *testing.T) {
	var total mixedCounts
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(*testing.T) {
			counts := mixedBackend(rand.New(rand.NewPCG(seed, 9)))
			total.clients += counts.clients
			total.linkedClients += counts.linkedClients
			total.calls += counts.calls
			total.correctCalls += counts.correctCalls
		})
	}
	t.Logf("%+v", total)
	if total.linkedClients*100 > total.clients || total.correctCalls*10 < total.calls*3 || total.calls == 0 {
		t.Errorf("%d of %d requests from clients linked, want at most 1%%; %d of %d calls linked to their true cause, want at least 30%%", total.linkedClients, total.clients, total.correctCalls, total.calls)
	}
}

// mixedBackend simulates a backend for one minute and counts the links made after the first
// 20 s. Clients send requests of three routes. The requests of one of these routes have less
// time left than the open requests, so they cannot be recognized as requests from clients by
// their deadline.
func mixedBackend(rng *rand.Rand) (counts mixedCounts) {
	const concurrency, learningTime = 9, 20 * time.Second
	correlator, base := NewCorrelator(), time.Now()
	type running struct {
		span         trace.Span
		callAt, ends time.Duration
	}
	var open []running
	for now := time.Duration(0); now < 60*time.Second; now += time.Millisecond {
		at := base.Add(now)
		if len(open) < concurrency && rng.IntN(50) == 0 {
			span, work := trace.Root(), 80*time.Millisecond+time.Duration(rng.Int64N(int64(160*time.Millisecond)))
			correlator.Begin(OpenRequest{Span: span, Service: "home", Route: "browse", StartedAt: at, Deadline: at.Add(1800 * time.Millisecond)})
			open = append(open, running{span: span, callAt: now + (work / 2).Truncate(time.Millisecond), ends: now + work})
		}
		kept := open[:0]
		for _, request := range open {
			if request.callAt == now {
				if cause := correlator.LinkMixed("home", "check", trace.Span{}, 500*time.Millisecond, at); now > learningTime {
					counts.calls++
					if cause.Parent.ID == request.span.ID {
						counts.correctCalls++
					}
				}
			}
			if request.ends <= now {
				correlator.End(request.span.ID)
				continue
			}
			kept = append(kept, request)
		}
		open = kept
		for _, client := range []struct {
			route     string
			remaining time.Duration
		}{{"browse", 2 * time.Second}, {"order", 2500 * time.Millisecond}, {"quick", time.Second}} {
			if rng.IntN(60) > 0 {
				continue
			}
			if cause := correlator.LinkMixed("home", client.route, trace.Span{}, client.remaining, at); now > learningTime {
				counts.clients++
				if !cause.Parent.IsZero() {
					counts.linkedClients++
				}
			}
		}
	}
	return counts
}
