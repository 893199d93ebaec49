package consensus

import "curlewwalk/internal/config"

// Ready is what the proposer wants done: a message to be sent, or a command to be answered.
type Ready struct {
	// Message, if set, goes to every member in To.
	Message *Message
	To      []config.Member
	// Result, if set, answers the command with its ID.
	Result *CommandResult
}
