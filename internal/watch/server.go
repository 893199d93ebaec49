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
	// tickInterval is how often the server checks nodes for timeouts and replies to waiting
	// callers.
	tickInterval = 100 * time.Millisecond
	// neverConfirmed is the Age of updates from a replica that has never confirmed its control
	// state. It is far above maxConfirmationAge, so the watcher prefers another replica.
	neverConfirmed = time.Hour
)

// Server runs a replica's event log in an actor and manages the watchers and operators that wait
// for changes. Its methods are safe for concurrent use. (DESIGN 8.1)
type Server struct {
	mailbox *actor.Mailbox
	start   time.Time
	// budgets holds the sums of all nodes' counts. suspected holds the result of
	// EventLog.Suspected. Both are updated at each tick.
	budgets   atomic.Pointer[map[string]retrybudget.Counts]
	suspected atomic.Pointer[map[string]uint64]

	// Only the actor accesses the following fields.
	eventLog      *EventLog
	watches       []pendingWatch
	revisionWaits []revisionWait
	// confirmedAt is the start of the last reported quorum read that confirmed that no control
	// state newer than the log's had been acknowledged. It is zero if there was none.
	confirmedAt time.Time
}

// Status is a snapshot of the log for the API.
type Status struct {
	Revision     uint64              `json:"stamp"`
	LogID        uint64              `json:"feed"`
	Offset       uint64              `json:"place"`
	Ready        bool                `json:"open"`
	Nodes        []membership.Node   `json:"nodes"`
	ControlState config.ControlState `json:"-"`
}

// NewServer starts the actor with an empty log. incarnation is that of the process and becomes the
// ID of the log.
func NewServer(actors *actor.System, incarnation uint64) *Server {
	s := &Server{eventLog: NewEventLog(incarnation, 0), start: time.Now()}
	s.budgets.Store(&map[string]retrybudget.Counts{})
	s.suspected.Store(&map[string]uint64{})
	s.mailbox = actors.Spawn("directory", s.handle)
	return s
}

// Run sends ticks to the actor until ctx is done.
func (s *Server) Run(ctx context.Context) {
	actor.Every(ctx, tickInterval, func(ctx context.Context) { s.mailbox.Send(ctx, msgTick{}) })
}

// ObserveNode records the node received in a heartbeat. It returns the departures that earlier
// processes at the node's address reported and that the node lacks.
func (s *Server) ObserveNode(ctx context.Context, n membership.Node) (departed []string) {
	departed, _ = actor.Ask(ctx, s.mailbox, func(r chan<- []string) any { return msgNode{n, r} })
	return departed
}

// ObserveStatus records the status received in a heartbeat in place of a node. It returns false if
// the sender has to send the full node. It returns true if the actor has stopped.
func (s *Server) ObserveStatus(ctx context.Context, status membership.NodeStatus) bool {
	known, ok := actor.Ask(ctx, s.mailbox, func(r chan<- bool) any { return msgNodeStatus{status, r} })
	return known || !ok
}

// ObserveCommitted records a committed control state.
func (s *Server) ObserveCommitted(ctx context.Context, state config.ControlState) {
	s.mailbox.Send(ctx, msgCommitted{state})
}

// ObserveConfirmed records that no control state newer than the log's was acknowledged at the time
// asOf.
func (s *Server) ObserveConfirmed(ctx context.Context, asOf time.Time) {
	s.mailbox.Send(ctx, msgConfirmed{asOf})
}

// Budgets returns the sums of all nodes' counts by contract.
func (s *Server) Budgets() map[string]retrybudget.Counts { return *s.budgets.Load() }

// Suspected returns the refutation that the node at addr has to exceed. ok is false if the node is
// not suspected.
func (s *Server) Suspected(addr string) (refutation uint64, ok bool) {
	refutation, ok = (*s.suspected.Load())[addr]
	return refutation, ok
}

// Status returns a snapshot of the log. ok is false if the actor has stopped.
func (s *Server) Status(ctx context.Context) (status Status, ok bool) {
	return actor.Ask(ctx, s.mailbox, func(r chan<- Status) any { return msgStatus{r} })
}

// DrainStatus returns the evacuation status of a zone. ok is false if the actor has stopped.
func (s *Server) DrainStatus(ctx context.Context, zone string) (status DrainStatus, ok bool) {
	return actor.Ask(ctx, s.mailbox, func(r chan<- DrainStatus) any { return msgDrain{zone, r} })
}

// AwaitApplied waits up to appliedTimeout until all nodes have applied a revision, and then up to
// appliedGrace longer until more than half of them have. It returns the addresses of the nodes that
// have not. ok is false if these are not known. (DESIGN 6.6)
func (s *Server) AwaitApplied(ctx context.Context, revision uint64) (lagging []string, ok bool) {
	lagging, ok = actor.Ask(ctx, s.mailbox, func(r chan<- []string) any { return msgAwaitApplied{revision, r} })
	return lagging, ok && lagging != nil
}

// The following errors are responses to a Request. Their texts are part of the protocol.
// errNoUpdates means that the log is not ready or that the actor has stopped.
var (
	errNotRequest = errors.New("not a follow")
	errNoUpdates  = errors.New("not settled in")
)

// HandleWatch responds to a Request. It returns as soon as there are events for the watcher, and
// otherwise after Request.Wait.
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
