package fleet

// Tree is what is read of GET /v1/traces.
type Tree struct {
	Spans   int      `json:"spans"`
	Whole   bool     `json:"whole"`
	Roots   []Branch `json:"roots"`
	Unasked []int    `json:"unasked"`
}

// Branch is one span of a tree.
type Branch struct {
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
	Children []Branch `json:"children"`
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
