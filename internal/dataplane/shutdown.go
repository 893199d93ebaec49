package dataplane

import (
	"context"
	"fmt"
	"os"
	"time"

	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/process"
)

const (
	// answerReserve is the part of the grace time that is kept for answering what is still
	// open: rejected if it was not begun, its outcome unknown if it was. (DESIGN 11.3)
	answerReserve = 300 * time.Millisecond // (ours)
	// closeIdleTimeout is how long closing idle client connections may take. (ours)
	closeIdleTimeout = 2 * time.Second
	// stopPollInterval is how often a stopping sidecar checks whether it is done. (ours)
	stopPollInterval = 10 * time.Millisecond
)

// shutdown drains the sidecar. It is unready at once, and its backends are reported as draining
// and get no new attempts; it serves clients for a while on other sidecars' backends, then
// refuses them; and what was accepted may finish until abandonAt. What is still open then is
// answered with what is known of it, within the rest of the grace time. (DESIGN 11.3)
func (s *Sidecar) shutdown() {
	signaledAt, before := time.Now(), s.outbound.Counters.Snapshot()
	drain := s.reloader.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	abandonAt := signaledAt.Add(drain - min(answerReserve, drain/4))
	s.abandonAt.Store(&abandonAt)
	s.draining.Store(true)
	s.agent.mailbox.Send(ctx, msgDrain{})
	s.serveOn(ctx, drain)
	s.closed.Store(true)
	// The outgoing calls of own backends are waited for as well: they belong to requests that
	// were accepted.
	s.awaitIdle(ctx, abandonAt)
	abandonedRequests, abandonedAttempts := s.outbound.Counters.InFlight.Load(), s.inbound.Counters.InFlight.Load()
	s.inbound.RefuseWaiting()
	s.abandonRequests(proxy.ErrStopping)
	s.awaitAnswered(ctx)
	s.closeIdleConnections(ctx)
	s.closeServers(ctx)
	s.process.Close()
	s.reportShutdown(signaledAt, before, abandonedRequests, abandonedAttempts)
}

// serveOn keeps serving clients for a while: whoever sends them here learns only at the next
// health check that this sidecar is not ready.
func (s *Sidecar) serveOn(ctx context.Context, drain time.Duration) {
	select {
	case <-time.After(min(s.settings.ServeOn, drain/2)):
	case <-ctx.Done():
	}
}

// refusesClients reports whether clients' requests are refused. The calls of an own backend
// belong to requests that were accepted: where they can't be distinguished from clients', all that
// surely end before the shutdown does are taken while the backend runs one. (DESIGN 11.3)
func (s *Sidecar) refusesClients() bool {
	return s.closed.Load() && (s.settings.Caller == "" || s.inbound.Counters.InFlight.Load() == 0)
}

// shutdownTime is the time until which what is still taken must have ended; stopping is
// false while clients are not refused.
func (s *Sidecar) shutdownTime() (end time.Time, stopping bool) {
	at := s.abandonAt.Load()
	if at == nil || !s.closed.Load() {
		return time.Time{}, false
	}
	return *at, true
}

// awaitIdle waits until nothing is open, or until end.
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

// closeIdleConnections closes the idle connections of callers. One may be sending a request
// just then, and could not know whether that was read: so the answer to it, that it was not
// run, is written on the connection first.
func (s *Sidecar) closeIdleConnections(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeIdleTimeout)
	defer cancel()
	shutdownResponse := proxy.ShutdownResponse(s.outbound.Dialect)
	closing := process.ClosingResponse(shutdownResponse.Header, shutdownResponse.Body)
	s.requestServer.CloseIdle(ctx, closing)
	s.egress.closeIdle(ctx, closing)
}

// closeServers closes the HTTP addresses; open requests may finish until ctx ends.
func (s *Sidecar) closeServers(ctx context.Context) {
	s.apiServer.Shutdown(ctx)
	s.requestServer.Shutdown(ctx)
	s.egress.shutdown(ctx)
}

// reportShutdown prints what became of the requests that came since the signal to stop: the
// log ring and the metrics end with the process. abandonedRequests counts the requests of
// callers that were open when the time was over, abandonedAttempts the attempts for own
// backends.
func (s *Sidecar) reportShutdown(signaledAt time.Time, before proxy.Totals, abandonedRequests, abandonedAttempts int64) {
	total := s.outbound.Counters.Snapshot()
	fmt.Fprintf(os.Stdout, "stopped after=%v asked=%d answered=%d not-run=%d unknown=%d given-up=%d attempts-given-up=%d\n",
		time.Since(signaledAt).Round(time.Millisecond), total.Requests-before.Requests, total.Answered-before.Answered,
		total.NotRun-before.NotRun, total.Unknown-before.Unknown, abandonedRequests, abandonedAttempts)
}
