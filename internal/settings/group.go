package settings

// Group is a group of additional settings, such as those of an adapter. They are read from the same
// file and flags.
type Group struct {
	// Name is the heading of the group in --help.
	Name string
	// Data is a pointer to a struct whose fields have tags like those of Common.
	Data any
	// Apply, if set, is called with the program's settings (*ControlPlane or *Sidecar) after all
	// settings are read and before they are validated. It copies values from Data into them.
	Apply func(settings any)
}
