package controlplane

import (
	"context"
	"net/http"
	"time"

	"curlewwalk/internal/process"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/transport"
)

// traceTimeout bounds the time in which all members are queried for a trace.
const traceTimeout = time.Second

// getTrace handles GET /v1/traces/{id}. The response is the tree of a trace, built from the events
// that the members store.
func (n *Node) getTrace(w http.ResponseWriter, r *http.Request) {
	id, ok := trace.ParseTraceID(r.PathValue("id"))
	if !ok {
		process.WriteError(w, http.StatusBadRequest, "not a trace id: 16 or 32 hex digits")
		return
	}
	events, unreachable := n.queryTrace(r.Context(), id)
	tree := tracestore.BuildTree(id, events)
	tree.Unreachable = unreachable
	tree.Complete = tree.Complete && len(unreachable) == 0
	status := http.StatusOK
	if tree.Spans == 0 {
		status = http.StatusNotFound
	}
	process.WriteJSON(w, status, tree)
}

// queryTrace queries all members concurrently for their events of a trace. It returns the events
// and the IDs of the members that did not answer.
func (n *Node) queryTrace(ctx context.Context, id trace.TraceID) (events []trace.Event, unreachable []int) {
	type memberEvents struct {
		memberID int
		events   []trace.Event
		ok       bool
	}
	ctx, cancel := context.WithTimeout(ctx, traceTimeout)
	defer cancel()
	members := n.cluster.memberIDs()
	results := make(chan memberEvents, len(members))
	for _, memberID := range members {
		n.process.Actors.Go(ctx, "trace-query", func(ctx context.Context) {
			events, ok := n.queryMemberTrace(ctx, memberID, id)
			results <- memberEvents{memberID: memberID, events: events, ok: ok}
		})
	}
	for range members {
		result := <-results
		events = append(events, result.events...)
		if !result.ok {
			unreachable = append(unreachable, result.memberID)
		}
	}
	return events, unreachable
}

// queryMemberTrace queries one member for its events of a trace. The member may be this replica.
func (n *Node) queryMemberTrace(ctx context.Context, memberID int, id trace.TraceID) (events []trace.Event, ok bool) {
	addr, known := n.cfg.Advertise, true
	if memberID != n.replica.Acceptor().Self.MemberID {
		addr, known = n.cluster.Addr(memberID)
	}
	if !known {
		return nil, false
	}
	var batch tracestore.Batch
	query := tracestore.Query{Trace: id}
	ok = n.process.TransportClient.Call(ctx, addr, transport.ControlTraffic, tracestore.KindTrace, query).Decode(&batch)
	return batch.Events, ok
}
