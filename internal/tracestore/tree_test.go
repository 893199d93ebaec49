package tracestore

import (
	"math/rand/v2"
	"testing"
	"time"

	"curlewwalk/internal/trace"
)

// testEvents returns the events of a root span with two child spans, each served by a node of its
// own, in the order of the logical counters.
func testEvents() []trace.Event {
	t := trace.TraceID{Lo: 9}
	at := func(span, parent trace.ID, kind trace.Kind, counter uint64, node string) trace.Event {
		return trace.Event{Trace: t, Span: span, Parent: parent, Kind: kind, Counter: counter, Node: node, Attempt: 1}
	}
	return []trace.Event{
		at(1, 0, trace.ClientStart, 1, "a"), at(1, 0, trace.ServerReceive, 2, "b"),
		at(2, 1, trace.ClientStart, 3, "b"), at(2, 1, trace.ServerReceive, 4, "c"), at(2, 1, trace.ServerSend, 5, "c"), at(2, 1, trace.ClientReceive, 6, "b"),
		at(3, 1, trace.ClientStart, 7, "b"), at(3, 1, trace.ServerReceive, 8, "d"), at(3, 1, trace.ServerSend, 9, "d"), at(3, 1, trace.ClientReceive, 10, "b"),
		at(1, 0, trace.ServerSend, 11, "b"), at(1, 0, trace.ClientReceive, 12, "a"),
	}
}

// The tree depends neither on the clocks of the nodes, which may be skewed by hours in either
// direction, nor on the order in which events arrive.
func TestSkewedClocks(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		events := testEvents()
		skew := map[string]time.Duration{}
		for i := range events {
			if _, ok := skew[events[i].Node]; !ok {
				skew[events[i].Node] = time.Duration(rng.Int64N(int64(10*time.Hour))) - 5*time.Hour
			}
			events[i].At = skew[events[i].Node] + time.Duration(events[i].Counter)*time.Millisecond
		}
		rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		tr := BuildTree(trace.TraceID{Lo: 9}, events)
		if !tr.Complete || tr.Spans != 3 || len(tr.Roots) != 1 || len(tr.Roots[0].Children) != 2 {
			t.Fatalf("seed %d: got %+v, want a complete tree with one root and two children", seed, tr)
		}
		root := tr.Roots[0]
		for i, want := range []string{trace.ID(2).String(), trace.ID(3).String()} {
			if root.Children[i].Span != want {
				t.Errorf("seed %d: child %d is span %s, in the wrong order", seed, i, root.Children[i].Span)
			}
		}
		for _, n := range append(root.Children, root) {
			for i, k := range []trace.Kind{trace.ClientStart, trace.ServerReceive, trace.ServerSend, trace.ClientReceive} {
				if n.Events[i].Kind != k {
					t.Errorf("seed %d: span %s has events in the wrong order: %+v", seed, n.Span, n.Events)
				}
			}
		}
	}
}

// A tree that lacks a single event or a whole span is marked as incomplete.
func TestIncompleteTrees(t *testing.T) {
	all := testEvents()
	for i := range all {
		events := append(append([]trace.Event{}, all[:i]...), all[i+1:]...)
		if tr := BuildTree(trace.TraceID{Lo: 9}, events); tr.Complete {
			t.Errorf("got a complete tree without event %d, want an incomplete one", i)
		}
	}
	var events []trace.Event
	for _, e := range all {
		if e.Span != 1 {
			events = append(events, e)
		}
	}
	tr := BuildTree(trace.TraceID{Lo: 9}, events)
	if tr.Complete || len(tr.Roots) != 2 || !tr.Roots[0].ParentMissing {
		t.Errorf("without the root span: got %+v, want an incomplete tree with two roots", tr)
	}
}
