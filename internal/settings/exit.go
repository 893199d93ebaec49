package settings

// Exit says whether the process should end now, with what code and text.
type Exit struct {
	Now  bool
	Code int
	Text string
}
