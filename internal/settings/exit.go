package settings

// Exit describes whether the program exits instead of running. It exits after --help, --version and
// --check, and if the settings are invalid.
type Exit struct {
	// Now is true if the program must exit. If it is false, the other fields are empty.
	Now bool
	// Code is the process's exit code.
	Code int
	// Text is the text to print: on standard error if Code is not zero, else on standard output.
	Text string
}
