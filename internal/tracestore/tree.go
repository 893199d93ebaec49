package tracestore

import (
	"cmp"
	"slices"

	"curlewwalk/internal/trace"
)

// Tree is a trace as GET /v1/traces/{id} shows it. A span whose parent is unknown is a root.
type Tree struct {
	Trace string `json:"trace"`
	Spans int    `json:"spans"`
	// Complete tells whether all spans have all their events, and their parents.
	Complete bool        `json:"whole"`
	Roots    []*SpanNode `json:"roots"`
	// Unreachable has the member IDs of the replicas that did not answer.
	Unreachable []int `json:"unasked,omitempty"`
}

// SpanNode is one span with its children, each list in the order of the logical counters.
type SpanNode struct {
	Span   string `json:"span"`
	Parent string `json:"parent,omitempty"`
	// ParentMissing is set when the parent is not among the spans.
	ParentMissing bool        `json:"parent_missing,omitempty"`
	Route         string      `json:"way,omitempty"`
	Service       string      `json:"service,omitempty"`
	Caller        string      `json:"caller,omitempty"`
	Link          trace.Link  `json:"link,omitempty"`
	Candidates    []string    `json:"candidates,omitempty"`
	Events        []EventView `json:"events"`
	// Missing has the kinds of the events that the span should have, and has not.
	Missing  []string    `json:"missing,omitempty"`
	Children []*SpanNode `json:"children,omitempty"`
}

// EventView is one event of a span.
type EventView struct {
	Kind trace.Kind `json:"kind"`
	Node string     `json:"node"`
	// Counter is the logical clock at the event.
	Counter uint64 `json:"counter"`
	// SinceStart is the time since the node's start, by its own clock.
	SinceStart string `json:"since_start"`
	Instance   string `json:"instance,omitempty"`
	Status     int    `json:"status,omitempty"`
	Outcome    string `json:"outcome,omitempty"`
	Reason     string `json:"reason,omitempty"`
	// Attempt is the number of the attempt, from 1; zero before any.
	Attempt int `json:"leg,omitempty"`
}

// BuildTree puts a tree together from events in any order, which it sorts in place. The order of
// the tree comes from the spans' parents and the logical counters, never from clocks.
func BuildTree(id trace.TraceID, events []trace.Event) Tree {
	slices.SortStableFunc(events, func(a, b trace.Event) int { return cmp.Compare(a.Counter, b.Counter) })
	spans := groupSpans(events)
	tree := Tree{Trace: id.String(), Spans: len(spans.order), Complete: len(events) > 0}
	for _, id := range spans.order {
		node, parentID := spans.nodes[id], spans.parents[id]
		node.findMissing()
		if parentID != 0 {
			node.Parent = parentID.String()
		}
		if parent := spans.nodes[parentID]; parent != nil {
			parent.Children = append(parent.Children, node)
		} else {
			node.ParentMissing = parentID != 0
			tree.Roots = append(tree.Roots, node)
		}
		tree.Complete = tree.Complete && len(node.Missing) == 0 && !node.ParentMissing
	}
	return tree
}

// spanTable has spans by their IDs.
type spanTable struct {
	nodes   map[trace.ID]*SpanNode
	parents map[trace.ID]trace.ID
	// order has the spans in the order of their first events.
	order []trace.ID
}

// groupSpans groups sorted events by span.
func groupSpans(events []trace.Event) spanTable {
	spans := spanTable{nodes: map[trace.ID]*SpanNode{}, parents: map[trace.ID]trace.ID{}}
	for _, event := range events {
		node := spans.nodes[event.Span]
		if node == nil {
			node = &SpanNode{Span: event.Span.String()}
			spans.nodes[event.Span] = node
			spans.parents[event.Span] = event.Parent
			spans.order = append(spans.order, event.Span)
		}
		node.addEvent(event)
	}
	return spans
}

// addEvent adds an event; what it says of the span counts unless an earlier one has said it.
func (n *SpanNode) addEvent(e trace.Event) {
	n.Route = cmp.Or(n.Route, e.Route)
	n.Service = cmp.Or(n.Service, e.Service)
	n.Caller = cmp.Or(n.Caller, e.Caller)
	if n.Link == trace.LinkNone && e.Link != trace.LinkNone {
		n.Link = e.Link
		for _, candidate := range e.Candidates {
			n.Candidates = append(n.Candidates, candidate.String())
		}
	}
	n.Events = append(n.Events, EventView{
		Kind: e.Kind, Node: e.Node, Counter: e.Counter, SinceStart: e.At.String(),
		Instance: e.Instance, Status: e.Status, Outcome: e.Outcome, Reason: e.Reason, Attempt: e.Attempt,
	})
}

// findMissing lists the events that the span should have. A call that ended before any attempt
// reached no server.
func (n *SpanNode) findMissing() {
	has := map[trace.Kind]bool{}
	attempted := true
	for _, event := range n.Events {
		has[event.Kind] = true
		if event.Kind == trace.ClientReceive {
			attempted = event.Attempt > 0
		}
	}
	for _, kind := range []trace.Kind{trace.ClientStart, trace.ServerReceive, trace.ServerSend, trace.ClientReceive} {
		ofServer := kind == trace.ServerReceive || kind == trace.ServerSend
		if !has[kind] && (attempted || !ofServer) {
			n.Missing = append(n.Missing, string(kind))
		}
	}
}
