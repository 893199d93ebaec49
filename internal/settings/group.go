package settings

// Group is a group of further settings, an adapter's, read from the same file and
// flags: a pointer to a struct with tags as Common's.
type Group struct {
	Name string
	Data any
	// Apply, if set, is handed the program's settings once all is read, before they are
	// checked.
	Apply func(read any)
}
