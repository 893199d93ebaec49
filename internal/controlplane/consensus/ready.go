package consensus

import "curlewwalk/internal/config"

// Ready is an output of the proposer: a message to send or the result of a command.
type Ready struct {
	// Message, if set, is sent to every member in To.
	Message *Message
	To      []config.Member
	// Result, if set, is the response to the command with its ID.
	Result *CommandResult
}
