package settings

// Exit tells whether the program is to end at once instead of running: after --help, --version and
// --check, or over settings that are not valid.
type Exit struct {
	// Now is false if the program is to run; the rest is empty then.
	Now bool
	// Code is the process's exit code.
	Code int
	// Text is to be printed, on standard error if Code is not zero.
	Text string
}
