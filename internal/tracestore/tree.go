package tracestore

import (
	"cmp"
	"slices"

	"curlewwalk/internal/trace"
)

// Tree is a whole trace as an operator reads it.
type Tree struct {
	Trace string `json:"trace"`
	Spans int    `json:"spans"`
	// Complete tells whether nothing is missing.
	Complete bool        `json:"whole"`
	Roots    []*SpanNode `json:"roots"`
	// Unreachable lists the cores that did not answer.
	Unreachable []int `json:"unasked,omitempty"`
}

// SpanNode is one span with its children.
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
	Missing       []string    `json:"missing,omitempty"`
	Children      []*SpanNode `json:"children,omitempty"`
}

// EventView is one event as an operator reads it.
type EventView struct {
	Kind       trace.Kind `json:"kind"`
	Node       string     `json:"node"`
	Counter    uint64     `json:"counter"`
	SinceStart string     `json:"since_start"`
	Instance   string     `json:"instance,omitempty"`
	Status     int        `json:"status,omitempty"`
	Outcome    string     `json:"outcome,omitempty"`
	Reason     string     `json:"reason,omitempty"`
	Attempt    int        `json:"leg,omitempty"`
}

// BuildTree puts a tree together. The order comes from the tree and the logical
// counters, never from clocks.
func BuildTree(id trace.TraceID, events []trace.Event) Tree {
	t := Tree{Trace: id.String(), Complete: len(events) > 0}
	slices.SortStableFunc(events, func(a, b trace.Event) int { return cmp.Compare(a.Counter, b.Counter) })
	nodes := map[trace.ID]*SpanNode{}
	parents := map[trace.ID]trace.ID{}
	var order []trace.ID
	for _, e := range events {
		n := nodes[e.Span]
		if n == nil {
			n = &SpanNode{Span: e.Span.String()}
			nodes[e.Span] = n
			parents[e.Span] = e.Parent
			order = append(order, e.Span)
		}
		n.addEvent(e)
	}
	for _, sp := range order {
		n := nodes[sp]
		n.findMissing()
		t.Complete = t.Complete && len(n.Missing) == 0
		p := parents[sp]
		if p != 0 {
			n.Parent = p.String()
		}
		if parentNode := nodes[p]; parentNode != nil {
			parentNode.Children = append(parentNode.Children, n)
			continue
		}
		if n.ParentMissing = p != 0; n.ParentMissing {
			t.Complete = false
		}
		t.Roots = append(t.Roots, n)
	}
	t.Spans = len(nodes)
	return t
}

func (n *SpanNode) addEvent(e trace.Event) {
	n.Route, n.Service, n.Caller = cmp.Or(n.Route, e.Route), cmp.Or(n.Service, e.Service), cmp.Or(n.Caller, e.Caller)
	if n.Link == trace.LinkNone && e.Link != trace.LinkNone {
		n.Link = e.Link
		for _, c := range e.Candidates {
			n.Candidates = append(n.Candidates, c.String())
		}
	}
	n.Events = append(n.Events, EventView{
		Kind: e.Kind, Node: e.Node, Counter: e.Counter, SinceStart: e.At.String(),
		Instance: e.Instance, Status: e.Status, Outcome: e.Outcome, Reason: e.Reason, Attempt: e.Attempt,
	})
}

// findMissing marks the events that should be there. A call that ended before any
// attempt has no server's events.
func (n *SpanNode) findMissing() {
	has := map[trace.Kind]bool{}
	attempts := true
	for _, e := range n.Events {
		has[e.Kind] = true
		if e.Kind == trace.ClientReceive {
			attempts = e.Attempt > 0
		}
	}
	for _, k := range []trace.Kind{trace.ClientStart, trace.ServerReceive, trace.ServerSend, trace.ClientReceive} {
		server := k == trace.ServerReceive || k == trace.ServerSend
		if !has[k] && (attempts || !server) {
			n.Missing = append(n.Missing, string(k))
		}
	}
}
