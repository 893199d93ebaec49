package trace

// Link is the certainty of the parent of a span.
type Link string

const (
	// LinkNone means that no cause was determined. The span may still have a parent: the events
	// of an attempt have no link either.
	LinkNone Link = ""
	// LinkProven means that the parent is certain.
	LinkProven Link = "proven"
	// LinkInferred means that the parent is the most likely of several candidates.
	LinkInferred Link = "inferred"
)
