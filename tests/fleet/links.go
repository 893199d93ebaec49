package fleet

import (
	"context"
	"fmt"
)

// LinkCounts counts how the traces link the outgoing calls of backends to the requests that caused
// them. The ledger of the fakes gives the true cause of each call.
type LinkCounts struct {
	// Calls is the number of calls. Correct is the number linked to their true cause, and Unlinked
	// the number that are not linked to any request.
	Calls, Correct, Unlinked int
	// Proven is the number of links that are marked as proven. ProvenWrong is the number of these
	// that are wrong.
	Proven, ProvenWrong int
}

// String returns the counts as one line of text.
func (n LinkCounts) String() string {
	return fmt.Sprintf("%d calls, correct %.1f%%, unlinked %d, proven %.1f%%, proven and wrong %d",
		n.Calls, 100*float64(n.Correct)/float64(max(1, n.Calls)), n.Unlinked, 100*float64(n.Proven)/float64(max(1, n.Calls)), n.ProvenWrong)
}

// CountLinks reads the traces of at most limit inner calls and counts their links.
func (f *Fleet) CountLinks(ctx context.Context, limit int) (counts LinkCounts, err error) {
	calls := f.Ledger.InnerCalls()
	for _, call := range calls[:min(len(calls), limit)] {
		span, err := f.awaitSpan(ctx, call.Trace, call.Span)
		if err != nil {
			return counts, err
		}
		parent, _ := f.Ledger.FirstRun(call.Parent)
		counts.add(span, span.Parent == parent.Span)
	}
	return counts, nil
}

// awaitSpan waits until the first replica returns a span with its events.
func (f *Fleet) awaitSpan(ctx context.Context, trace, id string) (span SpanNode, err error) {
	err = Await(ctx, "span "+id+" in trace "+trace, func(ctx context.Context) bool {
		var tree TraceTree
		if _, err := f.Replicas[0].Get(ctx, "/v1/traces/"+trace, &tree); err != nil {
			return false
		}
		found := false
		span, found = findSpan(tree.Roots, id)
		return found && len(span.Events) > 0
	})
	return span, err
}

// add adds the link of one call to the counts.
func (n *LinkCounts) add(span SpanNode, correct bool) {
	n.Calls++
	switch {
	case correct:
		n.Correct++
	case span.Parent == "":
		n.Unlinked++
	}
	if span.Link == "proven" {
		n.Proven++
		if !correct {
			n.ProvenWrong++
		}
	}
}
