package fleet

// TraceTree contains the fields that the tests read from the answer to GET /v1/traces/ID.
type TraceTree struct {
	Spans      int        `json:"spans"`
	Complete   bool       `json:"whole"`
	Roots      []SpanNode `json:"roots"`
	NotQueried []int      `json:"unasked"`
}

// SpanNode is one span of a trace, with its child spans.
type SpanNode struct {
	Span       string   `json:"span"`
	Parent     string   `json:"parent"`
	Service    string   `json:"service"`
	Caller     string   `json:"caller"`
	Link       string   `json:"link"`
	Route      string   `json:"way"`
	Candidates []string `json:"candidates"`
	Missing    []string `json:"missing"`
	Events     []struct {
		Kind    string `json:"kind"`
		Node    string `json:"node"`
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
		Counter uint64 `json:"counter"`
		Status  int    `json:"status"`
	} `json:"events"`
	Children []SpanNode `json:"children"`
}

// findSpan returns the span with the given ID from a list of trees, and reports whether it was found.
func findSpan(nodes []SpanNode, span string) (SpanNode, bool) {
	for _, node := range nodes {
		if node.Span == span {
			return node, true
		}
		if found, ok := findSpan(node.Children, span); ok {
			return found, true
		}
	}
	return SpanNode{}, false
}
