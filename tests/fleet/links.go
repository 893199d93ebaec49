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
	for _, inner := range f.Ledger.InnerCalls() {
		if counts.Calls++; counts.Calls > limit {
			counts.Calls--
			break
		}
		var span SpanNode
		err := Await(ctx, "span "+inner.Span+" in trace "+inner.Trace, func(ctx context.Context) bool {
			var tree TraceTree
			_, err := f.Replicas[0].Get(ctx, "/v1/traces/"+inner.Trace, &tree)
			found := false
			if err == nil {
				span, found = findSpan(tree.Roots, inner.Span)
			}
			return found && len(span.Events) > 0
		})
		if err != nil {
			return counts, err
		}
		outer, _ := f.Ledger.FirstRun(inner.Parent)
		right := span.Parent == outer.Span
		switch {
		case right:
			counts.Correct++
		case span.Parent == "":
			counts.Unlinked++
		}
		if span.Link == "proven" {
			counts.Proven++
			if !right {
				counts.ProvenWrong++
			}
		}
	}
	return counts, nil
}
