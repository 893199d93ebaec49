package dataplane

import (
	"net/http"
	"time"

	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/metrics"
)

// metrics serves the sidecar's metrics. The client side takes requests from
// callers, the server side takes attempts for this machine's backends.
func (n *Node) metrics() http.Handler {
	var all []*metrics.Metric
	all = append(all, n.trafficMetrics()...)
	all = append(all, n.controlMetrics()...)
	all = append(all, n.traceMetrics()...)
	all = append(all, metrics.Wire(&n.p.TransportClient.Counts, &n.p.TransportServer.Counts)...)
	return metrics.Handler(all...)
}

func (n *Node) trafficMetrics() []*metrics.Metric {
	side := []string{"side"}
	return []*metrics.Metric{
		metrics.Counter("route_requests_total", "Requests of callers that a route took, by outcome.", []string{"route", "outcome"}, n.near.RouteCounters.Read),
		metrics.Counter("requests_total", "Requests of callers, and attempts for own backends, that have ended, by outcome.", []string{"side", "outcome"}, n.bySide(func(t proxy.Totals, emit metrics.Emit, side string) {
			emit(float64(t.Answered), side, string(routing.Answered))
			emit(float64(t.NotRun), side, string(routing.NotRun))
			emit(float64(t.Unknown), side, string(routing.Unknown))
		})),
		metrics.Gauge("requests_in_flight", "Requests of callers, and attempts for own backends, that are open.", side, n.bySide(func(t proxy.Totals, emit metrics.Emit, side string) {
			emit(float64(t.InFlight), side)
		})),
		metrics.Counter("retries_total", "Attempts beyond a request's first.", nil, metrics.Value(func() float64 {
			return float64(n.near.Counters.Snapshot().ExtraAttempts)
		})),
		metrics.Counter("joined_requests_total", "Repeats of an Idempotency-Key that got the answer of its first request.", nil, metrics.Value(func() float64 {
			return float64(n.near.Counters.Snapshot().Joined)
		})),
		metrics.Counter("clients_left_total", "Requests whose clients left before they were answered.", nil, metrics.Value(func() float64 {
			return float64(n.near.Counters.Snapshot().ClientDisconnects)
		})),
		metrics.Counter("after_clients_left_seconds_total", "Time for which requests went on after their clients had left.", nil, metrics.Value(func() float64 {
			return n.near.Counters.Snapshot().AfterDisconnect.Seconds()
		})),
		metrics.Counter("recalled_attempts_total", "Attempts for own backends that were recalled, by what was done.", []string{"outcome"}, func(emit metrics.Emit) {
			total := n.far.Counters.Snapshot()
			emit(float64(total.CancelledBeforeStart), "not-run")
			emit(float64(total.CancelledRunning), "stopped")
			emit(float64(total.LeftRunning), "left-running")
		}),
		metrics.Gauge("retry_budget", "Retries to a service that this sidecar may make now.", []string{"service"}, func(emit metrics.Emit) {
			for service, held := range n.steward.retryBudgets.Balances() {
				emit(held, service)
			}
		}),
		metrics.Gauge("body_bytes", "Bytes of request bodies held now.", side, func(emit metrics.Emit) {
			emit(float64(n.near.Bodies.Reserved()), "client")
			emit(float64(n.far.Bodies.Reserved()), "server")
		}),
	}
}

// bySide reads the totals of both sides.
func (n *Node) bySide(read func(t proxy.Totals, emit metrics.Emit, side string)) metrics.Read {
	return func(emit metrics.Emit) {
		read(n.near.Counters.Snapshot(), emit, "client")
		read(n.far.Counters.Snapshot(), emit, "server")
	}
}

func (n *Node) controlMetrics() []*metrics.Metric {
	return []*metrics.Metric{
		metrics.Gauge("lease_valid", "Whether requests may be admitted: 1 while the lease on the configuration holds.", nil, metrics.Value(func() float64 {
			return metrics.Bool(n.claimed())
		})),
		metrics.Gauge("lease_age_seconds", "Time since the moment as of which the lease was renewed.", nil, metrics.Value(func() float64 {
			return n.steward.claim.Age(time.Now()).Seconds()
		})),
		metrics.Gauge("configuration_version", "Version of the configuration in force.", nil, metrics.Value(func() float64 {
			return float64(n.steward.table.Load().Revision)
		})),
		metrics.Gauge("feed_lag_seconds", "Time since the last message of the feed from the core that is followed; absent before the first.", nil, func(emit metrics.Emit) {
			if since := n.steward.shown.Load().Since; !since.IsZero() {
				emit(time.Since(since).Seconds())
			}
		}),
		metrics.Gauge("cores_live", "Cores that are heard.", nil, metrics.Value(func() float64 {
			return float64(len(n.seeker.Replicas().Live(time.Now())))
		})),
		metrics.Gauge("sidecars_known", "Sidecars in this one's view, itself included.", nil, metrics.Value(func() float64 {
			return float64(len(n.steward.view.Load().Nodes()))
		})),
		metrics.Gauge("keys_held", "Idempotency keys held for other sidecars, by state.", []string{"state"}, func(emit metrics.Emit) {
			held, settled := n.holder.Count()
			emit(float64(held-settled), "open")
			emit(float64(settled), "answered")
		}),
		metrics.Counter("backend_departures_total", "Announcements and words of leaving of own backends, by what they came to.", []string{"word"}, func(emit metrics.Emit) {
			for w, name := range wordNames {
				emit(float64(n.steward.departures.counts[w].Load()), name)
			}
		}),
		metrics.Gauge("draining", "Whether the sidecar is stopping.", nil, metrics.Value(func() float64 {
			return metrics.Bool(n.draining.Load())
		})),
	}
}

func (n *Node) traceMetrics() []*metrics.Metric {
	return []*metrics.Metric{
		metrics.Counter("trace_events_total", "Trace events, by what became of them.", []string{"outcome"}, func(emit metrics.Emit) {
			stats := n.queue.Stats()
			emit(float64(stats.Accepted), "taken")
			emit(float64(stats.Dropped), "dropped")
			emit(float64(stats.Published), "published")
			emit(float64(stats.Failed), "failed")
		}),
		metrics.Gauge("trace_events_waiting", "Trace events that wait to be published.", nil, metrics.Value(func() float64 {
			return float64(n.queue.Stats().Queued)
		})),
	}
}
