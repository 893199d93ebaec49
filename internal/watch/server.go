package watch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/transport"
)

// Server runs a Feed on a core's control thread and lets followers wait
// for news. (DESIGN 8.1)
type Server struct {
	mailbox       *actor.Mailbox
	log           *EventLog
	start         time.Time
	watches       []pendingWatch
	revisionWaits []revisionWait
	// confirmedAt is as of when no newer word had been acknowledged; zero if never.
	confirmedAt time.Time
	// budgets are the sums over all nodes, for whoever heartbeats.
	budgets   atomic.Pointer[map[string]retrybudget.Counts]
	suspected atomic.Pointer[map[string]uint64]
}

// neverConfirmed is the age of what a core was never sure of.
const neverConfirmed = time.Hour

type pendingWatch struct {
	request  Request
	deadline time.Duration
	reply    chan<- *Updates
}

// revisionWait waits for a stamp to be in force on all nodes.
type revisionWait struct {
	revision uint64
	deadline time.Duration
	reply    chan<- []string
}

const (
	// appliedTimeout is how long an operator's write waits to be in force on all nodes.
	appliedTimeout = time.Second // (ours)
	// appliedGrace is how much longer it waits to be in force on most.
	appliedGrace = 2 * time.Second // (ours)
)

type (
	msgAwaitApplied struct {
		revision uint64
		reply    chan<- []string
	}
	msgNode struct {
		node  membership.Node
		reply chan<- []string
	}
	msgNodeStatus struct {
		status membership.NodeStatus
		reply  chan<- bool
	}
	msgCommitted struct{ state config.ControlState }
	msgConfirmed struct{ asOf time.Time }
	msgTick      struct{}
	msgWatch     struct {
		request Request
		reply   chan<- *Updates
	}
	msgStatus struct{ reply chan<- Status }
	msgDrain  struct {
		zone  string
		reply chan<- DrainStatus
	}
)

// Status is what the directory shows.
type Status struct {
	Revision     uint64              `json:"stamp"`
	LogID        uint64              `json:"feed"`
	Offset       uint64              `json:"place"`
	Ready        bool                `json:"open"`
	Nodes        []membership.Node   `json:"nodes"`
	ControlState config.ControlState `json:"-"`
}

// NewServer starts the directory's actor.
func NewServer(actors *actor.System, incarnation uint64) *Server {
	s := &Server{log: NewEventLog(incarnation, 0), start: time.Now()}
	s.budgets.Store(&map[string]retrybudget.Counts{})
	s.suspected.Store(&map[string]uint64{})
	s.mailbox = actors.Spawn("directory", s.handle)
	return s
}

// Run keeps time until ctx ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.mailbox.Send(ctx, msgTick{})
		}
	}
}

// ObserveNode takes a node's own word, and returns the departures that earlier processes at its
// address told of and that it doesn't.
func (s *Server) ObserveNode(ctx context.Context, n membership.Node) (departed []string) {
	departed, _ = actor.Ask(ctx, s.mailbox, func(r chan<- []string) any { return msgNode{n, r} })
	return departed
}

// ObserveStatus takes a node's pulse; false if the node has to be told whole.
func (s *Server) ObserveStatus(ctx context.Context, status membership.NodeStatus) bool {
	known, ok := actor.Ask(ctx, s.mailbox, func(r chan<- bool) any { return msgNodeStatus{status, r} })
	return known || !ok
}

// ObserveCommitted takes a majority-held word.
func (s *Server) ObserveCommitted(ctx context.Context, state config.ControlState) {
	s.mailbox.Send(ctx, msgCommitted{state})
}

// ObserveConfirmed takes that no newer word had been acknowledged as of a moment.
func (s *Server) ObserveConfirmed(ctx context.Context, at time.Time) {
	s.mailbox.Send(ctx, msgConfirmed{at})
}

// Budgets are the sums over all nodes.
func (s *Server) Budgets() map[string]retrybudget.Counts { return *s.budgets.Load() }

// Suspected is the incarnation in which others accuse a node, if they do.
func (s *Server) Suspected(addr string) (uint64, bool) {
	refutation, ok := (*s.suspected.Load())[addr]
	return refutation, ok
}

// Status shows the directory.
func (s *Server) Status(ctx context.Context) (Status, bool) {
	return actor.Ask(ctx, s.mailbox, func(r chan<- Status) any { return msgStatus{r} })
}

// DrainStatus reports on a zone.
func (s *Server) DrainStatus(ctx context.Context, zone string) (DrainStatus, bool) {
	return actor.Ask(ctx, s.mailbox, func(r chan<- DrainStatus) any { return msgDrain{zone, r} })
}

// AwaitApplied waits until all nodes have a stamp in force, for a second at most, or
// at least most of them, for three, and lists those that do not; ok is false if
// that is not known. (DESIGN 6.6)
func (s *Server) AwaitApplied(ctx context.Context, revision uint64) (lagging []string, ok bool) {
	lagging, ok = actor.Ask(ctx, s.mailbox, func(r chan<- []string) any { return msgAwaitApplied{revision, r} })
	return lagging, ok && lagging != nil
}

// HandleWatch handles a Follow call.
func (s *Server) HandleWatch(ctx context.Context, request transport.Request) (any, string) {
	var req Request
	if !request.Decode(&req) {
		return nil, "not a follow"
	}
	n, ok := actor.Ask(ctx, s.mailbox, func(r chan<- *Updates) any { return msgWatch{req, r} })
	if !ok || n == nil {
		return nil, "not settled in"
	}
	return n, ""
}

func (s *Server) handle(_ context.Context, msg any) {
	now := time.Since(s.start)
	s.log.DetectPause(now)
	switch m := msg.(type) {
	case msgNode:
		m.reply <- s.log.ObserveDepartures(m.node, now)
		if !s.log.ObserveNode(m.node, now) {
			s.answerRevisionWaits(now)
			return
		}
	case msgNodeStatus:
		m.reply <- s.log.ObserveStatus(m.status, now)
		s.answerRevisionWaits(now)
		return // no news for followers
	case msgCommitted:
		s.log.ObserveCommitted(m.state)
	case msgConfirmed:
		s.confirmedAt = m.asOf
	case msgTick:
		s.log.Tick(now)
		sums := retrybudget.Merge(s.log.Budgets())
		s.budgets.Store(&sums)
		suspected := s.log.Suspected()
		s.suspected.Store(&suspected)
	case msgWatch:
		if !s.log.Ready(now) {
			m.reply <- nil
			return
		}
		s.watches = append(s.watches, pendingWatch{request: m.request, deadline: now + m.request.Wait, reply: m.reply})
	case msgAwaitApplied:
		s.revisionWaits = append(s.revisionWaits, revisionWait{revision: m.revision, deadline: now + appliedTimeout, reply: m.reply})
	case msgDrain:
		m.reply <- s.log.DrainStatus(m.zone, now)
	case msgStatus:
		status := Status{LogID: s.log.ID, Offset: s.log.offset, Ready: s.log.Ready(now), Nodes: s.log.Nodes()}
		if w := s.log.State(); w != nil {
			status.Revision, status.ControlState = w.Revision, *w
		}
		m.reply <- status
	}
	s.answerWatches(now)
}

// answerWatches answers the followers that there is news for or that waited enough.
func (s *Server) answerWatches(now time.Duration) {
	kept := s.watches[:0]
	for _, f := range s.watches {
		updates, fresh := s.log.Since(f.request)
		if !fresh && now < f.deadline {
			kept = append(kept, f)
			continue
		}
		updates.Age = neverConfirmed
		if !s.confirmedAt.IsZero() {
			updates.Age = time.Since(s.confirmedAt)
		}
		f.reply <- &updates
	}
	clear(s.watches[len(kept):])
	s.watches = kept
	s.answerRevisionWaits(now)
}

// answerRevisionWaits answers those who wait for a stamp to be in force.
func (s *Server) answerRevisionWaits(now time.Duration) {
	s.revisionWaits = slices.DeleteFunc(s.revisionWaits, func(w revisionWait) bool {
		var lagging []string // not known while the nodes are still being heard
		if s.log.Ready(now) {
			lagging = s.log.LaggingNodes(w.revision)
		}
		late, most := now >= w.deadline, lagging != nil && 2*len(lagging) < len(s.log.nodes)
		over := late && (most || now >= w.deadline+appliedGrace) || lagging != nil && len(lagging) == 0
		if over {
			w.reply <- lagging
		}
		return over
	})
}
