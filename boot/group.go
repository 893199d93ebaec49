package boot

// Group is a group of further settings, an adapter's, read from the same file and
// flags: a pointer to a struct with tags as Common's.
type Group struct {
	Name string
	Data any
}
