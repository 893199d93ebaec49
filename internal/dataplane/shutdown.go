package dataplane

import (
	"context"
	"fmt"
	"os"
	"time"

	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/process"
)

// shutdown drains: unready at once, nothing new, what was handed over finishes.
// (DESIGN 11.3)
func (s *Sidecar) shutdown() {
	signaledAt, before := time.Now(), s.outbound.Counters.Snapshot()
	drain := s.reloader.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	abandonAt := signaledAt.Add(drain - min(answerReserve, drain/4))
	s.abandonAt.Store(&abandonAt)
	s.draining.Store(true)
	s.agent.mailbox.Send(ctx, msgDrain{})
	// Whoever sends clients here learns only at its next look that this node is not
	// ready: until then they are served.
	select {
	case <-time.After(min(s.settings.ServeOn, drain/2)):
	case <-ctx.Done():
	}
	s.closed.Store(true)
	// A backend's outgoing calls belong to requests that were handed over.
	s.awaitIdle(ctx, abandonAt)
	abandonedRequests, abandonedAttempts := s.outbound.Counters.InFlight.Load(), s.inbound.Counters.InFlight.Load()
	s.inbound.RefuseWaiting()
	s.abandonRequests(proxy.ErrStopping)
	s.awaitAnswered(ctx)
	// A client may be writing on an idle connection just as it is closed, and could
	// not know whether that was read: so it is told first, on the connection.
	farewellCtx, cancelFarewell := context.WithTimeout(ctx, farewellTimeout)
	defer cancelFarewell()
	farewellResponse := proxy.ShutdownResponse(s.outbound.Dialect)
	farewell := process.ClosingResponse(farewellResponse.Header, farewellResponse.Body)
	s.httpServers[1].CloseIdle(farewellCtx, farewell)
	s.egress.sayFarewell(farewellCtx, farewell)
	for _, w := range s.httpServers {
		w.Shutdown(ctx)
	}
	s.egress.stop(ctx)
	s.process.Close()
	s.reportShutdown(signaledAt, before, abandonedRequests, abandonedAttempts)
}

// answerReserve is what of the time to stop is kept for answering what is still open: refused
// if it was not begun, its outcome unknown if it was. (DESIGN 11.3)
const answerReserve = 300 * time.Millisecond // (ours)

// awaitIdle waits until nothing is open, or its time is over.
func (s *Sidecar) awaitIdle(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	awaitZero(ctx, func() int64 { return s.inbound.Counters.InFlight.Load() + s.outbound.Counters.InFlight.Load() })
}

// awaitAnswered waits until all requests of callers have got their answers.
func (s *Sidecar) awaitAnswered(ctx context.Context) {
	awaitZero(ctx, s.outbound.Counters.InFlight.Load)
}

// awaitZero waits until a count is zero, or ctx ends.
func awaitZero(ctx context.Context, count func() int64) {
	tick := time.NewTicker(stopPollInterval)
	defer tick.Stop()
	for count() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// stopPollInterval is how often a stopping sidecar looks whether it is done.
const stopPollInterval = 10 * time.Millisecond // (ours)

// reportShutdown prints what became of the requests that came since the warning: the ring and
// the metrics end with the process. givenUp counts the requests of callers that were open
// when the time was over, attempts the ones for own backends.
func (s *Sidecar) reportShutdown(signaledAt time.Time, before proxy.Totals, abandonedRequests, abandonedAttempts int64) {
	total := s.outbound.Counters.Snapshot()
	fmt.Fprintf(os.Stdout, "stopped after=%v asked=%d answered=%d not-run=%d unknown=%d given-up=%d attempts-given-up=%d\n",
		time.Since(signaledAt).Round(time.Millisecond), total.Requests-before.Requests, total.Answered-before.Answered,
		total.NotRun-before.NotRun, total.Unknown-before.Unknown, abandonedRequests, abandonedAttempts)
}
