package dataplane

import (
	"net/http"
	"time"

	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/metrics"
)

// Values of the label "side". The client side handles requests of callers, which are clients and
// own backends. The server side handles attempts for own backends.
const (
	clientSide = "client"
	serverSide = "server"
)

// metricsHandler returns the handler that serves the sidecar's metrics.
func (s *Sidecar) metricsHandler() http.Handler {
	var all []*metrics.Metric
	all = append(all, s.trafficMetrics()...)
	all = append(all, s.controlMetrics()...)
	all = append(all, s.traceMetrics()...)
	all = append(all, metrics.Transport(&s.process.TransportClient.Counters, &s.process.TransportServer.Counters)...)
	return metrics.Handler(all...)
}

// trafficMetrics returns the metrics of the request path.
func (s *Sidecar) trafficMetrics() []*metrics.Metric {
	side := []string{"side"}
	return []*metrics.Metric{
		metrics.Counter("route_requests_total", "Requests of callers that a route took, by outcome.", []string{"route", "outcome"}, s.outbound.RouteCounters.Collect),
		metrics.Counter("requests_total", "Requests of callers, and attempts for own backends, that have ended, by outcome.", []string{"side", "outcome"}, s.bySide(func(total proxy.Totals, emit metrics.EmitFunc, side string) {
			emit(float64(total.Answered), side, string(routing.Answered))
			emit(float64(total.NotRun), side, string(routing.NotRun))
			emit(float64(total.Unknown), side, string(routing.Unknown))
		})),
		metrics.Gauge("requests_in_flight", "Requests of callers, and attempts for own backends, that are open.", side, s.bySide(func(total proxy.Totals, emit metrics.EmitFunc, side string) {
			emit(float64(total.InFlight), side)
		})),
		metrics.Counter("retries_total", "Attempts beyond a request's first.", nil, s.outboundTotal(func(total proxy.Totals) float64 { return float64(total.ExtraAttempts) })),
		metrics.Counter("joined_requests_total", "Repeats of an Idempotency-Key that got the answer of its first request.", nil, s.outboundTotal(func(total proxy.Totals) float64 { return float64(total.Joined) })),
		metrics.Counter("clients_left_total", "Requests whose clients left before they were answered.", nil, s.outboundTotal(func(total proxy.Totals) float64 { return float64(total.ClientDisconnects) })),
		metrics.Counter("after_clients_left_seconds_total", "Time for which requests went on after their clients had left.", nil, s.outboundTotal(func(total proxy.Totals) float64 { return total.AfterDisconnect.Seconds() })),
		metrics.Counter("recalled_attempts_total", "Attempts for own backends that were recalled, by what was done.", []string{"outcome"}, func(emit metrics.EmitFunc) {
			total := s.inbound.Counters.Snapshot()
			emit(float64(total.CanceledBeforeStart), "not-run")
			emit(float64(total.CanceledRunning), "stopped")
			emit(float64(total.LeftRunning), "left-running")
		}),
		metrics.Gauge("retry_budget", "Retries to a service that this sidecar may make now.", []string{"service"}, func(emit metrics.EmitFunc) {
			for service, balance := range s.retryBudgets.Balances() {
				emit(balance, service)
			}
		}),
		metrics.Gauge("body_bytes", "Bytes of request bodies held now.", side, func(emit metrics.EmitFunc) {
			emit(float64(s.outbound.Bodies.Reserved()), clientSide)
			emit(float64(s.inbound.Bodies.Reserved()), serverSide)
		}),
	}
}

// outboundTotal returns a function that reads one value of the client side's totals.
func (s *Sidecar) outboundTotal(read func(total proxy.Totals) float64) metrics.ReadFunc {
	return metrics.Scalar(func() float64 { return read(s.outbound.Counters.Snapshot()) })
}

// bySide returns a function that reads the totals of each side of the proxy.
func (s *Sidecar) bySide(read func(total proxy.Totals, emit metrics.EmitFunc, side string)) metrics.ReadFunc {
	return func(emit metrics.EmitFunc) {
		read(s.outbound.Counters.Snapshot(), emit, clientSide)
		read(s.inbound.Counters.Snapshot(), emit, serverSide)
	}
}

// controlMetrics returns the metrics of the control state.
func (s *Sidecar) controlMetrics() []*metrics.Metric {
	return []*metrics.Metric{
		metrics.Gauge("lease_valid", "Whether requests may be admitted: 1 while the lease on the configuration holds.", nil, metrics.Scalar(func() float64 {
			return metrics.Bool(s.leaseValid())
		})),
		metrics.Gauge("lease_age_seconds", "Time since the moment as of which the lease was renewed.", nil, metrics.Scalar(func() float64 {
			return s.agent.lease.Age(time.Now()).Seconds()
		})),
		metrics.Gauge("configuration_version", "Version of the configuration in force.", nil, metrics.Scalar(func() float64 {
			return float64(s.routingTable().Revision)
		})),
		metrics.Gauge("feed_lag_seconds", "Time since the last message of the feed from the core that is followed; absent before the first.", nil, func(emit metrics.EmitFunc) {
			if since := s.agent.watchStatus.Load().LastUpdate; !since.IsZero() {
				emit(time.Since(since).Seconds())
			}
		}),
		metrics.Gauge("cores_live", "Cores that are heard.", nil, metrics.Scalar(func() float64 {
			return float64(len(s.discovery.Replicas().Live(time.Now())))
		})),
		metrics.Gauge("sidecars_known", "Sidecars in this one's view, itself included.", nil, metrics.Scalar(func() float64 {
			return float64(len(s.membershipView().Nodes()))
		})),
		metrics.Gauge("keys_held", "Idempotency keys held for other sidecars, by state.", []string{"state"}, func(emit metrics.EmitFunc) {
			stored, completed := s.replicaServer.Count()
			emit(float64(stored-completed), "open")
			emit(float64(completed), "answered")
		}),
		metrics.Counter("backend_departures_total", "Announcements and words of leaving of own backends, by what they came to.", []string{"word"}, func(emit metrics.EmitFunc) {
			for event, name := range departureEventNames {
				emit(float64(s.agent.departureLog.counts[event].Load()), name)
			}
		}),
		metrics.Gauge("draining", "Whether the sidecar is stopping.", nil, metrics.Scalar(func() float64 {
			return metrics.Bool(s.draining.Load())
		})),
	}
}

// traceMetrics returns the metrics of the trace queue.
func (s *Sidecar) traceMetrics() []*metrics.Metric {
	return []*metrics.Metric{
		metrics.Counter("trace_events_total", "Trace events, by what became of them.", []string{"outcome"}, func(emit metrics.EmitFunc) {
			stats := s.traceQueue.Stats()
			emit(float64(stats.Accepted), "taken")
			emit(float64(stats.Dropped), "dropped")
			emit(float64(stats.Published), "published")
			emit(float64(stats.Failed), "failed")
		}),
		metrics.Gauge("trace_events_waiting", "Trace events that wait to be published.", nil, metrics.Scalar(func() float64 {
			return float64(s.traceQueue.Stats().Queued)
		})),
	}
}
