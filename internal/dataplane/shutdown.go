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
	// answerReserve is the part of the drain time that is reserved for answering the requests
	// that are still open. A request that was not started is rejected. A request that was
	// started gets the answer that its outcome is unknown. (DESIGN 11.3)
	answerReserve = 300 * time.Millisecond
	// closeIdleTimeout bounds the time for closing idle client connections.
	closeIdleTimeout = 2 * time.Second
	// stopPollInterval is the interval at which a stopping sidecar checks whether all
	// requests have finished.
	stopPollInterval = 10 * time.Millisecond
)

// shutdown drains the sidecar (DESIGN 11.3) in these steps:
//
//  1. The sidecar reports itself as not ready. Its backends are reported as draining and get
//     no new attempts.
//  2. For a while, the sidecar still serves clients, using the backends of other sidecars.
//  3. The sidecar refuses new requests from clients. Requests that were accepted may finish
//     until abandonAt.
//  4. Requests that are still open are answered with what is known of their outcome, within
//     the rest of the drain time.
func (s *Sidecar) shutdown() {
	signaledAt, before := time.Now(), s.outbound.Counters.Snapshot()
	drain := s.reloader.DrainTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	abandonAt := signaledAt.Add(drain - min(answerReserve, drain/4))
	s.abandonAt.Store(&abandonAt)
	s.draining.Store(true)
	s.agent.mailbox.Send(ctx, msgDrain{})
	s.keepServing(ctx, drain)
	s.refusing.Store(true)
	// The wait includes outgoing calls of own backends, since these belong to requests that
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

// keepServing continues to serve clients for a while. Load balancers learn only at their next
// health check that this sidecar is not ready.
func (s *Sidecar) keepServing(ctx context.Context, drain time.Duration) {
	select {
	case <-time.After(min(s.settings.ServeOn, drain/2)):
	case <-ctx.Done():
	}
}

// refusesClients reports whether requests from clients are refused. Calls of an own backend
// belong to requests that were accepted, so they are not refused. If such calls cannot be
// distinguished from requests of clients, then all requests are accepted while the backend is
// running a request, as long as they are certain to end before the shutdown ends.
// (DESIGN 11.3)
func (s *Sidecar) refusesClients() bool {
	return s.refusing.Load() && (s.settings.Caller == "" || s.inbound.Counters.InFlight.Load() == 0)
}

// shutdownTime returns the time by which requests that are still accepted must have ended.
// stopping is false until the sidecar refuses clients.
func (s *Sidecar) shutdownTime() (end time.Time, stopping bool) {
	at := s.abandonAt.Load()
	if at == nil || !s.refusing.Load() {
		return time.Time{}, false
	}
	return *at, true
}

// awaitIdle blocks until no request or attempt is open, until end, or until ctx ends.
func (s *Sidecar) awaitIdle(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	awaitZero(ctx, func() int64 { return s.inbound.Counters.InFlight.Load() + s.outbound.Counters.InFlight.Load() })
}

// awaitAnswered blocks until all requests of callers have been answered, or until ctx ends.
func (s *Sidecar) awaitAnswered(ctx context.Context) {
	awaitZero(ctx, s.outbound.Counters.InFlight.Load)
}

// awaitZero blocks until count returns zero, or until ctx ends.
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

// closeIdleConnections closes the idle connections of callers. A caller may be sending a
// request on such a connection at the same time, and it could not tell whether the sidecar
// has read that request. Therefore a response that says that the request was not executed is
// written to the connection before it is closed.
func (s *Sidecar) closeIdleConnections(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeIdleTimeout)
	defer cancel()
	shutdownResponse := proxy.ShutdownResponse(s.outbound.Dialect)
	closing := process.ClosingResponse(shutdownResponse.Header, shutdownResponse.Body)
	s.requestServer.CloseIdle(ctx, closing)
	s.egress.closeIdle(ctx, closing)
}

// closeServers closes the HTTP listeners. Open requests may finish until ctx ends.
func (s *Sidecar) closeServers(ctx context.Context) {
	s.apiServer.Shutdown(ctx)
	s.requestServer.Shutdown(ctx)
	s.egress.shutdown(ctx)
}

// reportShutdown prints the outcomes of the requests that arrived since the stop signal. They
// are printed because the log ring and the metrics are lost when the process ends.
// abandonedRequests is the number of requests of callers that were still open at abandonAt.
// abandonedAttempts is the number of attempts for own backends that were open then.
func (s *Sidecar) reportShutdown(signaledAt time.Time, before proxy.Totals, abandonedRequests, abandonedAttempts int64) {
	total := s.outbound.Counters.Snapshot()
	fmt.Fprintf(os.Stdout, "stopped after=%v asked=%d answered=%d not-run=%d unknown=%d given-up=%d attempts-given-up=%d\n",
		time.Since(signaledAt).Round(time.Millisecond), total.Requests-before.Requests, total.Answered-before.Answered,
		total.NotRun-before.NotRun, total.Unknown-before.Unknown, abandonedRequests, abandonedAttempts)
}
