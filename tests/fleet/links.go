package fleet

import (
	"context"
	"fmt"
)

// LinkCounts counts how backends' outgoing calls were tied to their causes, against
// what the stand-ins know.
type LinkCounts struct{ Calls, Correct, Unlinked, Proven, ProvenWrong int }

// String is the count as text.
func (n LinkCounts) String() string {
	return fmt.Sprintf("%d calls, right %.1f%%, untied %d, proven %.1f%%, proven and wrong %d",
		n.Calls, 100*float64(n.Correct)/float64(max(1, n.Calls)), n.Unlinked, 100*float64(n.Proven)/float64(max(1, n.Calls)), n.ProvenWrong)
}

// CountLinks reads the trees of up to most inner calls.
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
