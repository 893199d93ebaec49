package fleet

import (
	"context"
	"fmt"
)

// Links counts how backends' outgoing calls were tied to their causes, against
// what the stand-ins know.
type Links struct{ Calls, Right, Untied, Proven, ProvenWrong int }

// String is the count as text.
func (n Links) String() string {
	return fmt.Sprintf("%d calls, right %.1f%%, untied %d, proven %.1f%%, proven and wrong %d",
		n.Calls, 100*float64(n.Right)/float64(max(1, n.Calls)), n.Untied, 100*float64(n.Proven)/float64(max(1, n.Calls)), n.ProvenWrong)
}

// CountLinks reads the trees of up to most inner calls.
func (f *Fleet) CountLinks(ctx context.Context, most int) (n Links, err error) {
	for _, inner := range f.Ledger.Inner() {
		if n.Calls++; n.Calls > most {
			n.Calls--
			break
		}
		var b Branch
		err := Await(ctx, "span "+inner.Span+" in trace "+inner.Trace, func(ctx context.Context) bool {
			var t Tree
			_, err := f.Cores[0].Get(ctx, "/v1/traces/"+inner.Trace, &t)
			found := false
			if err == nil {
				b, found = find(t.Roots, inner.Span)
			}
			return found && len(b.Events) > 0
		})
		if err != nil {
			return n, err
		}
		outer, _ := f.Ledger.Spans(inner.Cause)
		right := b.Parent == outer.Span
		switch {
		case right:
			n.Right++
		case b.Parent == "":
			n.Untied++
		}
		if b.Link == "proven" {
			n.Proven++
			if !right {
				n.ProvenWrong++
			}
		}
	}
	return n, nil
}
