package trace

// Link is how sure a parent is.
type Link string

// A link is proven, or inferred among several candidates.
const (
	LinkNone     Link = ""
	LinkProven   Link = "proven"
	LinkInferred Link = "inferred"
)
