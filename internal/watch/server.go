package watch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/transport"
)

const (
	// tickInterval is how often nodes are checked for time-outs and waiting callers are
	// answered.
	tickInterval = 100 * time.Millisecond
	// neverConfirmed is the Age of updates from a replica that has never confirmed its control
	// state.
	neverConfirmed = time.Hour
)

// Server is a replica's event log, run by an actor, with the watchers and operators that wait for
// it. Its methods may be called from anywhere. (DESIGN 8.1)
type Server struct {
	mailbox *actor.Mailbox
	start   time.Time
	// budgets are the sums of all nodes' counts, and suspected is EventLog.Suspected; both are
	// as of the last tick.
	budgets   atomic.Pointer[map[string]retrybudget.Counts]
	suspected atomic.Pointer[map[string]uint64]

	// The following fields belong to the actor.
	eventLog      *EventLog
	watches       []pendingWatch
	revisionWaits []revisionWait
	// confirmedAt is as of when there was no newer control state; zero if never.
	confirmedAt time.Time
}

// Status is a snapshot of the log, as the API shows it.
type Status struct {
	Revision     uint64              `json:"stamp"`
	LogID        uint64              `json:"feed"`
	Offset       uint64              `json:"place"`
	Ready        bool                `json:"open"`
	Nodes        []membership.Node   `json:"nodes"`
	ControlState config.ControlState `json:"-"`
}

// NewServer starts the actor with an empty log. incarnation is that of the process; it becomes the
// log's ID.
func NewServer(actors *actor.System, incarnation uint64) *Server {
	s := &Server{eventLog: NewEventLog(incarnation, 0), start: time.Now()}
	s.budgets.Store(&map[string]retrybudget.Counts{})
	s.suspected.Store(&map[string]uint64{})
	s.mailbox = actors.Spawn("directory", s.handle)
	return s
}

// Run sends the actor ticks until ctx ends.
func (s *Server) Run(ctx context.Context) {
	actor.Every(ctx, tickInterval, func(ctx context.Context) { s.mailbox.Send(ctx, msgTick{}) })
}

// ObserveNode takes the node that a heartbeat brought, and returns the departures that earlier
// processes at its address reported and it lacks.
func (s *Server) ObserveNode(ctx context.Context, n membership.Node) (departed []string) {
	departed, _ = actor.Ask(ctx, s.mailbox, func(r chan<- []string) any { return msgNode{n, r} })
	return departed
}

// ObserveStatus takes the status that a heartbeat brought in place of a node; it returns false if
// the full node has to be sent.
func (s *Server) ObserveStatus(ctx context.Context, status membership.NodeStatus) bool {
	known, ok := actor.Ask(ctx, s.mailbox, func(r chan<- bool) any { return msgNodeStatus{status, r} })
	return known || !ok
}

// ObserveCommitted takes a committed control state.
func (s *Server) ObserveCommitted(ctx context.Context, state config.ControlState) {
	s.mailbox.Send(ctx, msgCommitted{state})
}

// ObserveConfirmed takes that at the given time no control state newer than the log's was
// acknowledged.
func (s *Server) ObserveConfirmed(ctx context.Context, asOf time.Time) {
	s.mailbox.Send(ctx, msgConfirmed{asOf})
}

// Budgets returns the sums of all nodes' counts by contract.
func (s *Server) Budgets() map[string]retrybudget.Counts { return *s.budgets.Load() }

// Suspected returns the refutation that a node has to exceed, if it is suspected.
func (s *Server) Suspected(addr string) (refutation uint64, ok bool) {
	refutation, ok = (*s.suspected.Load())[addr]
	return refutation, ok
}

// Status returns a snapshot of the log; ok is false if the actor has stopped.
func (s *Server) Status(ctx context.Context) (status Status, ok bool) {
	return actor.Ask(ctx, s.mailbox, func(r chan<- Status) any { return msgStatus{r} })
}

// DrainStatus returns the status of a zone; ok is false if the actor has stopped.
func (s *Server) DrainStatus(ctx context.Context, zone string) (status DrainStatus, ok bool) {
	return actor.Ask(ctx, s.mailbox, func(r chan<- DrainStatus) any { return msgDrain{zone, r} })
}

// AwaitApplied waits until all nodes have applied a revision, for appliedTimeout at most, or more
// than half of them, for appliedGrace longer. It returns the addresses of those that have not; ok
// is false if that is not known. (DESIGN 6.6)
func (s *Server) AwaitApplied(ctx context.Context, revision uint64) (lagging []string, ok bool) {
	lagging, ok = actor.Ask(ctx, s.mailbox, func(r chan<- []string) any { return msgAwaitApplied{revision, r} })
	return lagging, ok && lagging != nil
}

// The errors that a Request may be answered with. Their texts are part of the protocol.
var (
	errNotRequest = errors.New("not a follow")
	errNoUpdates  = errors.New("not settled in")
)

// HandleWatch handles a Request. It returns when there are events for the watcher, or after
// Request.Wait.
func (s *Server) HandleWatch(ctx context.Context, in transport.Request) (any, error) {
	var req Request
	if !in.Decode(&req) {
		return nil, errNotRequest
	}
	updates, ok := actor.Ask(ctx, s.mailbox, func(r chan<- *Updates) any { return msgWatch{req, r} })
	if !ok || updates == nil {
		return nil, errNoUpdates
	}
	return updates, nil
}
