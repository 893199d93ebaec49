package watch

import (
	"context"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
)

const (
	// appliedTimeout is how long AwaitApplied waits for all nodes.
	appliedTimeout = time.Second
	// appliedGrace is how much longer AwaitApplied waits for more than half of the nodes.
	appliedGrace = 2 * time.Second
)

// The following types are the messages to a Server's actor. A message with a reply channel gets
// exactly one reply.
type (
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
	// msgWatch gets its reply later. A nil reply means that the log is not ready.
	msgWatch struct {
		request Request
		reply   chan<- *Updates
	}
	// msgAwaitApplied gets its reply later. A nil reply means that the nodes are not known yet.
	msgAwaitApplied struct {
		revision uint64
		reply    chan<- []string
	}
	msgStatus struct{ reply chan<- Status }
	msgDrain  struct {
		zone  string
		reply chan<- DrainStatus
	}
)

// pendingWatch is a request that waits for events.
type pendingWatch struct {
	request  Request
	deadline time.Duration
	reply    chan<- *Updates
}

// revisionWait is a caller that waits for a revision to be applied.
type revisionWait struct {
	revision uint64
	deadline time.Duration
	reply    chan<- []string
}

// handle processes one message to the actor.
func (s *Server) handle(_ context.Context, msg any) {
	now := time.Since(s.start)
	s.eventLog.DetectPause(now)
	switch m := msg.(type) {
	case msgNode:
		m.reply <- s.eventLog.ObserveDepartures(m.node, now)
		if !s.eventLog.ObserveNode(m.node, now) {
			s.answerRevisionWaits(now)
			return // no event for watchers
		}
	case msgNodeStatus:
		m.reply <- s.eventLog.ObserveStatus(m.status, now)
		s.answerRevisionWaits(now)
		return // no event for watchers
	case msgCommitted:
		s.eventLog.ObserveCommitted(m.state)
	case msgConfirmed:
		s.confirmedAt = m.asOf
	case msgTick:
		s.tick(now)
	case msgWatch:
		if !s.eventLog.Ready(now) {
			m.reply <- nil
			return
		}
		s.watches = append(s.watches, pendingWatch{request: m.request, deadline: now + m.request.Wait, reply: m.reply})
	case msgAwaitApplied:
		s.revisionWaits = append(s.revisionWaits, revisionWait{revision: m.revision, deadline: now + appliedTimeout, reply: m.reply})
	case msgDrain:
		m.reply <- s.eventLog.DrainStatus(m.zone, now)
	case msgStatus:
		m.reply <- s.status(now)
	}
	s.answerWatches(now)
	s.answerRevisionWaits(now)
}

// tick removes nodes that have timed out and publishes the data that is aggregated over all nodes.
func (s *Server) tick(now time.Duration) {
	s.eventLog.Tick(now)
	sums := retrybudget.Merge(s.eventLog.Budgets())
	s.budgets.Store(&sums)
	suspected := s.eventLog.Suspected()
	s.suspected.Store(&suspected)
}

// status returns a snapshot of the log.
func (s *Server) status(now time.Duration) Status {
	status := Status{LogID: s.eventLog.ID, Offset: s.eventLog.offset, Ready: s.eventLog.Ready(now), Nodes: s.eventLog.Nodes()}
	if state := s.eventLog.State(); state != nil {
		status.Revision, status.ControlState = state.Revision, *state
	}
	return status
}

// answerWatches replies to the watchers that have new events or whose wait time has elapsed.
func (s *Server) answerWatches(now time.Duration) {
	s.watches = slices.DeleteFunc(s.watches, func(w pendingWatch) bool {
		updates, fresh := s.eventLog.Since(w.request)
		if !fresh && now < w.deadline {
			return false
		}
		updates.Age = neverConfirmed
		if !s.confirmedAt.IsZero() {
			updates.Age = time.Since(s.confirmedAt)
		}
		w.reply <- &updates
		return true
	})
}

// answerRevisionWaits replies to the callers that wait for a revision if all nodes have applied it
// or the wait time has elapsed.
func (s *Server) answerRevisionWaits(now time.Duration) {
	s.revisionWaits = slices.DeleteFunc(s.revisionWaits, func(w revisionWait) bool {
		var lagging []string // nil while the nodes are not known yet
		if s.eventLog.Ready(now) {
			lagging = s.eventLog.LaggingNodes(w.revision)
		}
		if !w.isOver(lagging, len(s.eventLog.nodes), now) {
			return false
		}
		w.reply <- lagging
		return true
	})
}

// isOver reports whether a wait has ended. lagging lists the nodes that have not applied the
// revision yet; it is nil if they are not known. nodes is the number of all nodes.
func (w revisionWait) isOver(lagging []string, nodes int, now time.Duration) bool {
	known := lagging != nil
	if known && len(lagging) == 0 {
		return true
	}
	mostApplied := known && 2*len(lagging) < nodes
	return now >= w.deadline && (mostApplied || now >= w.deadline+appliedGrace)
}
