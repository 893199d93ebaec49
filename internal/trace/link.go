package trace

// Link says how certain the parent of a span is.
type Link string

// The links: the span has no parent, its parent is proven, or its parent is the likeliest of
// several candidates.
const (
	LinkNone     Link = ""
	LinkProven   Link = "proven"
	LinkInferred Link = "inferred"
)
