package consensus

import (
	"context"
	"time"
)

// The events that a replica's mailbox takes.
type (
	// messageEvent is a message to the local acceptor; nil answers one that was not handled.
	messageEvent struct {
		message Message
		reply   chan<- *Reply
	}
	// commandEvent is a command for the local proposer.
	commandEvent struct {
		command Command
		reply   chan<- CommandResult
	}
	// replyEvent is an acceptor's reply to the local proposer.
	replyEvent struct{ reply Reply }
	// savedEvent is the end of a write to disk.
	savedEvent struct {
		next Acceptor
		err  error
		done func(ctx context.Context, ok bool)
	}
	// bootstrapEvent has what the other static members answered to the MsgRead of an empty disk.
	bootstrapEvent struct{ replies map[int]Reply }
	// joinEvent has what they answered to its MsgJoin, sent as self.
	joinEvent struct {
		self    Sender
		replies map[int]Reply
	}
	// readIndexEvent is the end of a quorum read that began at a moment.
	readIndexEvent struct {
		startedAt time.Time
		read      quorumRead
	}
	// tickEvent lets time pass.
	tickEvent struct{}
)
