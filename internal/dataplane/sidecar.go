package dataplane

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"curlewwalk/internal/dataplane/causality"
	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/process"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/settings"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/watch"
)

// Adapter lets a platform speak to a sidecar in words of its own. (DESIGN 18)
type Adapter struct {
	// Dialect translates requests of callers and responses of backends.
	Dialect proxy.Dialect
	// Open opens the platform's own addresses; it is called once, when all parts run.
	Open func(s *Sidecar)
}

// Sidecar is a sidecar process with its parts.
type Sidecar struct {
	process  *process.Process
	settings settings.Sidecar
	dialect  proxy.Dialect
	reloader *process.Reloader

	// Control state, and what keeps it up to date.
	agent     *agent
	discovery *membership.Discovery
	prober    *membership.Prober
	gossiper  *membership.Gossiper
	watcher   *watch.Watcher

	// The request path.
	outbound       *proxy.Outbound
	inbound        *proxy.Inbound
	egress         *egressListeners
	causality      *causality.Tracker
	reservations   *idempotency.Store[proxy.Response]
	replicaServer  *keyreplication.ReplicaServer
	retryBudgets   *retrybudget.ServiceBudgets
	latencyBudgets *retrybudget.LatencyBudgets
	traceQueue     *trace.Queue

	// apiServer serves operators and backends, requestServer the clients.
	apiServer, requestServer *process.HTTPServer

	// draining is set at the start of a shutdown: the sidecar reports itself unready and admits
	// no new attempts. closed is set later in it: new requests of clients are refused, too.
	draining, closed atomic.Bool
	// abandonAt is when a stopping sidecar answers whatever is still open; nil before.
	// abandonRequests does so.
	abandonAt       atomic.Pointer[time.Time]
	abandonRequests context.CancelCauseFunc
}

// New builds a sidecar from its settings, opens its addresses and starts its parts.
// adapter may be nil. It ends the process if an address can't be opened.
func New(set settings.Sidecar, adapter *Adapter) *Sidecar {
	s := &Sidecar{process: process.New("sidecar", set.Common), settings: set, dialect: proxy.DefaultDialect{}}
	if adapter != nil {
		s.dialect = adapter.Dialect
	}
	limitMemory(set.Memory)
	s.traceQueue = trace.NewQueue(set.Advertise, s.process.Incarnation, set.TraceQueue)
	s.retryBudgets = retrybudget.NewServiceBudgets(set.Advertise, set.ExtraAttempts)
	s.latencyBudgets = retrybudget.NewLatencyBudgets()
	s.causality = causality.NewTracker()
	s.reservations = idempotency.NewStore(func(r proxy.Response) int { return len(r.Body) })
	s.replicaServer = keyreplication.NewReplicaServer()
	s.discovery = s.newDiscovery()
	s.prober = s.newProber()
	s.agent = s.newAgent()
	s.reloader = &process.Reloader{Discovery: s.discovery}
	s.reloader.Apply(set.Common)
	s.gossiper = s.newGossiper()
	s.watcher = s.newWatcher()
	s.outbound = s.newOutbound()
	s.outbound.KeyReplication = s.newKeyOwner()
	s.inbound = s.newInbound()
	s.egress = s.newEgressListeners()
	s.registerHandlers()
	s.listen()
	s.start()
	if adapter != nil {
		adapter.Open(s)
	}
	return s
}

// memoryLimitPercent is the share of the memory given to the process at which the garbage
// collector starts to work harder. (ours)
const memoryLimitPercent = 85

// limitMemory sets the memory given to the process, in MiB; zero is no limit.
func limitMemory(mebibytes int64) {
	if mebibytes > 0 {
		debug.SetMemoryLimit(mebibytes << 20 * memoryLimitPercent / 100)
	}
}

// Run prints a line of readiness with the addresses that were opened, waits for a signal
// to stop, and returns after a graceful shutdown. read reads the settings again, on
// SIGHUP.
func (s *Sidecar) Run(read func() (settings.Sidecar, settings.Exit)) {
	fmt.Fprintf(os.Stdout, "started wire=%s control=%s inquiries=%s\n", s.process.TransportServer.Addr(), s.apiServer.Listener.Addr(), s.requestServer.Listener.Addr())
	s.process.WaitForStop(func() {
		next, exit := read()
		s.reloader.Reload(s.process, s.settings, next, next.Common, exit)
	})
	s.shutdown()
}

// Process is the process that the sidecar runs in.
func (s *Sidecar) Process() *process.Process { return s.process }
