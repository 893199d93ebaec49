package settings

// Group is a group of further settings, an adapter's, which are read from the same file and flags.
type Group struct {
	// Name is the heading of the group in --help.
	Name string
	// Data is a pointer to a struct with tags like those of Common.
	Data any
	// Apply, if set, is handed the program's settings (*ControlPlane or *Sidecar) once all is read,
	// to fill them in from Data before they are validated.
	Apply func(settings any)
}
