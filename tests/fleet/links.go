package fleet

import (
	"context"
	"fmt"
)

// LinkCounts counts how backends' outgoing calls were linked to the requests that caused them,
// compared with what the fakes recorded.
type LinkCounts struct {
	// Calls counts the calls, Correct those linked to their cause, Unlinked those linked to
	// none.
	Calls, Correct, Unlinked int
	// Proven counts the links that are marked as proven, ProvenWrong those of them that are
	// wrong.
	Proven, ProvenWrong int
}

// String prints the counts.
func (n LinkCounts) String() string {
	return fmt.Sprintf("%d calls, correct %.1f%%, unlinked %d, proven %.1f%%, proven and wrong %d",
		n.Calls, 100*float64(n.Correct)/float64(max(1, n.Calls)), n.Unlinked, 100*float64(n.Proven)/float64(max(1, n.Calls)), n.ProvenWrong)
}

// CountLinks reads the traces of up to limit inner calls.
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

// awaitSpan waits until a span can be read with its events.
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

// add counts the link of one call.
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
