package consensus

import (
	"context"
	"time"
)

// The events that a replica's mailbox receives.
type (
	// messageEvent is a message to the local acceptor. The reply is nil if the message was not
	// processed.
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
	// savedEvent is the completion of a write to disk.
	savedEvent struct {
		next Acceptor
		err  error
		done func(ctx context.Context, ok bool)
	}
	// bootstrapEvent holds the replies of the other static members to the MsgRead of an empty
	// disk.
	bootstrapEvent struct{ replies map[int]Reply }
	// joinEvent holds the replies of the other static members to a MsgJoin, which was sent as
	// self.
	joinEvent struct {
		self    Sender
		replies map[int]Reply
	}
	// readIndexEvent is the result of a quorum read that began at startedAt.
	readIndexEvent struct {
		startedAt time.Time
		read      quorumRead
	}
	// tickEvent is a tick of the replica's timer.
	tickEvent struct{}
)
