package controlplane

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"curlewwalk/internal/metrics"
	"curlewwalk/internal/watch"
)

// statusTimeout is how long a scrape waits for the status of the watch server.
const statusTimeout = 500 * time.Millisecond

// counters holds the metrics counters that belong to the node itself.
type counters struct {
	// commands counts the commands that this replica has executed, by kind and outcome.
	commands metrics.CounterVec
	// reads counts the quorum reads for operators, by outcome.
	reads metrics.CounterVec
	// renewals counts the quorum reads that renewed the leases of the sidecars.
	renewals atomic.Uint64
}

// renewLeases records that a quorum knew of no newer control state at confirmedAt. Sidecars may use
// their control state for the duration of a lease from that time on.
func (n *Node) renewLeases(ctx context.Context, confirmedAt time.Time) {
	n.counters.renewals.Add(1)
	n.watchServer.ObserveConfirmed(ctx, confirmedAt)
}

// metricsHandler returns the handler of GET /metrics.
func (n *Node) metricsHandler() http.Handler {
	var all []*metrics.Metric
	all = append(all, n.consensusMetrics()...)
	all = append(all, n.membershipMetrics()...)
	all = append(all, n.watchMetrics()...)
	all = append(all, metrics.Transport(&n.process.TransportClient.Counters, &n.process.TransportServer.Counters)...)
	return metrics.Handler(all...)
}

func (n *Node) consensusMetrics() []*metrics.Metric {
	return []*metrics.Metric{
		metrics.Gauge("term", "Highest term (epoch) that this core has promised, and the one under which it accepted what it holds.", []string{"state"}, func(emit metrics.EmitFunc) {
			acceptor := n.replica.Acceptor()
			emit(float64(acceptor.Promised), "promised")
			emit(float64(acceptor.Position.Term), "accepted")
		}),
		metrics.Gauge("configuration_version", "Version of the configuration that this core accepted, and of the newest that it knows a majority to hold.", []string{"state"}, func(emit metrics.EmitFunc) {
			acceptor := n.replica.Acceptor()
			emit(float64(acceptor.Position.Revision), "accepted")
			emit(float64(acceptor.Committed), "committed")
		}),
		metrics.Gauge("leader", "Whether this core is on duty by what it hears.", nil, metrics.Scalar(func() float64 {
			return metrics.Bool(n.cluster.IsCoordinator())
		})),
		metrics.Counter("writes_total", "Writes that this core carried out as leader, by kind and result; kind reseat is a change of the membership.", []string{"kind", "result"}, n.counters.commands.Collect),
		metrics.Counter("quorum_reads_total", "Quorum reads of the configuration for operators, by outcome.", []string{"outcome"}, n.counters.reads.Collect),
		metrics.Counter("lease_renewals_total", "Quorum reads that renewed the leases of the sidecars that follow this core.", nil, metrics.Scalar(func() float64 {
			return float64(n.counters.renewals.Load())
		})),
	}
}

func (n *Node) membershipMetrics() []*metrics.Metric {
	return []*metrics.Metric{
		metrics.Gauge("members", "Members of the set in force, and of the set before while that is still needed.", []string{"set"}, func(emit metrics.EmitFunc) {
			sets := n.replica.Acceptor().MemberSets()
			emit(float64(len(sets.Current)), "current")
			emit(float64(len(sets.Previous)), "previous")
		}),
		metrics.Gauge("member", "Whether this core is a member of the set in force.", nil, metrics.Scalar(func() float64 {
			return metrics.Bool(n.replica.Acceptor().IsMember())
		})),
		metrics.Gauge("cores_live", "Other cores that are heard.", nil, metrics.Scalar(func() float64 {
			return float64(len(n.discovery.Replicas().Live(time.Now())))
		})),
	}
}

func (n *Node) watchMetrics() []*metrics.Metric {
	return []*metrics.Metric{
		metrics.Gauge("feed_sequence", "Number of the newest change in this core's feed; it starts anew with the process.", nil, n.watchGauge(func(s watch.Status) float64 {
			return float64(s.Offset)
		})),
		metrics.Gauge("feed_ready", "Whether the feed is served: not while the core is still being told of the sidecars.", nil, n.watchGauge(func(s watch.Status) float64 {
			return metrics.Bool(s.Ready)
		})),
		metrics.Gauge("sidecars_known", "Sidecars that this core hears.", nil, n.watchGauge(func(s watch.Status) float64 {
			return float64(len(s.Nodes))
		})),
		metrics.Gauge("sidecars_behind", "Sidecars that have an older configuration in force than the newest one here.", nil, n.watchGauge(countBehind)),
	}
}

// watchGauge returns a function that emits a value from the status of the watch server. The function
// emits no value if the status is not available within statusTimeout.
func (n *Node) watchGauge(value func(s watch.Status) float64) metrics.ReadFunc {
	return func(emit metrics.EmitFunc) {
		ctx, cancel := context.WithTimeout(n.process.Context, statusTimeout)
		defer cancel()
		if status, ok := n.watchServer.Status(ctx); ok {
			emit(value(status))
		}
	}
}

// countBehind returns the number of sidecars that have applied only an older revision than the
// newest one of this replica.
func countBehind(s watch.Status) float64 {
	count := 0
	for _, node := range s.Nodes {
		if node.AppliedRevision < s.Revision {
			count++
		}
	}
	return float64(count)
}
