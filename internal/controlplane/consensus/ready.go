package consensus

import "curlewwalk/internal/config"

// Ready is what the proposer wants done.
type Ready struct {
	// Message goes to every member in To.
	Message *Message
	To      []config.Member
	Result  *CommandResult
}
