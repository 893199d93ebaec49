package fleet

// TraceTree is the part of GET /v1/traces/ID that is read.
type TraceTree struct {
	Spans   int        `json:"spans"`
	Whole   bool       `json:"whole"`
	Roots   []SpanNode `json:"roots"`
	Unasked []int      `json:"unasked"`
}

// SpanNode is one span of a trace, with the spans that it caused.
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

// findSpan searches a tree for a span.
func findSpan(in []SpanNode, span string) (SpanNode, bool) {
	for _, b := range in {
		if b.Span == span {
			return b, true
		}
		if c, ok := findSpan(b.Children, span); ok {
			return c, true
		}
	}
	return SpanNode{}, false
}
