package fleet

// Tree is what is read of GET /v1/traces.
type Tree struct {
	Spans   int
	Whole   bool
	Roots   []Branch
	Unasked []int
}

// Branch is one span of a tree.
type Branch struct {
	Span, Parent, Service, Caller, Link string
	Route                               string `json:"way"`
	Candidates, Missing                 []string
	Events                              []struct {
		Kind, Node, Outcome, Reason string
		Counter                     uint64
		Status                      int
	}
	Children []Branch
}

// find looks for a span.
func find(in []Branch, span string) (Branch, bool) {
	for _, b := range in {
		if b.Span == span {
			return b, true
		}
		if c, ok := find(b.Children, span); ok {
			return c, true
		}
	}
	return Branch{}, false
}
