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

// Adapter connects a sidecar to a platform with its own protocol. (DESIGN 18)
type Adapter struct {
	// Dialect translates requests of callers and responses of backends.
	Dialect proxy.Dialect
	// Open opens the platform's own listeners. New calls it once, after all parts have been
	// started.
	Open func(s *Sidecar)
}

// Sidecar is a sidecar process with its parts.
type Sidecar struct {
	process  *process.Process
	settings settings.Sidecar
	dialect  proxy.Dialect
	reloader *process.Reloader

	// Control state and the components that update it.
	agent     *agent
	discovery *membership.Discovery
	prober    *membership.Prober
	gossiper  *membership.Gossiper
	watcher   *watch.Watcher

	// Request path.
	outbound       *proxy.Outbound
	inbound        *proxy.Inbound
	egress         *egressListeners
	causality      *causality.Tracker
	reservations   *idempotency.Store[proxy.Response]
	replicaServer  *keyreplication.ReplicaServer
	retryBudgets   *retrybudget.ServiceBudgets
	latencyBudgets *retrybudget.LatencyBudgets
	traceQueue     *trace.Queue

	// apiServer serves operators and backends. requestServer serves clients.
	apiServer, requestServer *process.HTTPServer

	// draining is set at the start of a shutdown: the sidecar then reports itself as not
	// ready and admits no new attempts. refusing is set later in the shutdown: the sidecar
	// then also refuses new requests from clients.
	draining, refusing atomic.Bool
	// abandonAt is the time at which a stopping sidecar calls abandonRequests to answer all
	// requests that are still open. It is nil until the shutdown starts.
	abandonAt       atomic.Pointer[time.Time]
	abandonRequests context.CancelCauseFunc
}

// New builds a sidecar from its settings, opens its listeners, and starts its parts. adapter
// may be nil. New ends the process if a listener cannot be opened.
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

// memoryLimitPercent is the memory limit of the Go runtime, as a percentage of the memory
// available to the process. Near this limit, the garbage collector runs more often.
const memoryLimitPercent = 85

// limitMemory limits the memory of the Go runtime, given the memory available to the process
// in MiB. Zero means no limit.
func limitMemory(mebibytes int64) {
	if mebibytes > 0 {
		debug.SetMemoryLimit(mebibytes << 20 * memoryLimitPercent / 100)
	}
}

// Run prints a line with the addresses of the listeners to signal that the sidecar is
// running. It then blocks until a stop signal arrives, and returns after a graceful shutdown.
// On SIGHUP, it calls read to read the settings again.
func (s *Sidecar) Run(read func() (settings.Sidecar, settings.Exit)) {
	fmt.Fprintf(os.Stdout, "started wire=%s control=%s inquiries=%s\n", s.process.TransportServer.Addr(), s.apiServer.Listener.Addr(), s.requestServer.Listener.Addr())
	s.process.WaitForStop(func() {
		next, exit := read()
		s.reloader.Reload(s.process, s.settings, next, next.Common, exit)
	})
	s.shutdown()
}

// Process returns the process in which the sidecar runs.
func (s *Sidecar) Process() *process.Process { return s.process }
