package tracestore

import (
	"cmp"
	"slices"

	"curlewwalk/internal/trace"
)

// Tree is the JSON response to GET /v1/traces/{id}. A span whose parent is unknown is a root.
type Tree struct {
	Trace string `json:"trace"`
	Spans int    `json:"spans"`
	// Complete is true if there are events, all spans have all their events and parents, and all
	// replicas answered. BuildTree does not know the replicas: its caller clears Complete if one
	// did not answer, and sets Unreachable.
	Complete bool        `json:"whole"`
	Roots    []*SpanNode `json:"roots"`
	// Unreachable lists the member IDs of the replicas that did not answer.
	Unreachable []int `json:"unasked,omitempty"`
}

// SpanNode is one span with its events and children, both in the order of the logical counters
// (trace.Event.Counter). Link and Candidates are described at trace.Event.
type SpanNode struct {
	Span   string `json:"span"`
	Parent string `json:"parent,omitempty"`
	// ParentMissing is set if the tree does not contain the parent.
	ParentMissing bool        `json:"parent_missing,omitempty"`
	Route         string      `json:"way,omitempty"`
	Service       string      `json:"service,omitempty"`
	Caller        string      `json:"caller,omitempty"`
	Link          trace.Link  `json:"link,omitempty"`
	Candidates    []string    `json:"candidates,omitempty"`
	Events        []EventView `json:"events"`
	// Missing lists the kinds of the events that the span should have but does not.
	Missing  []string    `json:"missing,omitempty"`
	Children []*SpanNode `json:"children,omitempty"`
}

// EventView is one event of a span.
type EventView struct {
	Kind trace.Kind `json:"kind"`
	Node string     `json:"node"`
	// Counter is the logical clock at the event.
	Counter uint64 `json:"counter"`
	// SinceStart is the time since the start of the node, by the clock of the node.
	SinceStart string `json:"since_start"`
	Instance   string `json:"instance,omitempty"`
	Status     int    `json:"status,omitempty"`
	Outcome    string `json:"outcome,omitempty"`
	Reason     string `json:"reason,omitempty"`
	// Attempt is the number of the attempt, from 1. It is zero before the first attempt.
	Attempt int `json:"leg,omitempty"`
}

// BuildTree builds the tree of a trace from events in any order. It sorts the events in place. The
// order of the tree depends on the parents of the spans and on the logical counters, never on
// clocks.
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

// spanTable holds spans and their parents by span ID.
type spanTable struct {
	nodes   map[trace.ID]*SpanNode
	parents map[trace.ID]trace.ID
	// order lists the spans in the order of their first events.
	order []trace.ID
}

// groupSpans groups events by span. The events must be sorted by their logical counters.
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

// addEvent adds an event to the span. A property of the span is taken from the first event that has
// it.
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

// findMissing records the kinds of events that are missing in the span. A call that ended before
// its first attempt has no server events.
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
		isServerEvent := kind == trace.ServerReceive || kind == trace.ServerSend
		if !has[kind] && (attempted || !isServerEvent) {
			n.Missing = append(n.Missing, string(kind))
		}
	}
}
