package actor

import (
	"context"

	"github.com/asynkron/protoactor-go/actor"

	"curlewwalk/internal/trace"
)

// Mailbox sends messages to an actor. It is safe for concurrent use.
type Mailbox struct {
	system *System
	pid    *actor.PID
}

// envelope is a message with a context that carries the sender's trace span.
type envelope struct {
	ctx     context.Context
	message any
}

// Spawn starts an actor and returns its mailbox. The actor calls handle with one message at a
// time. Messages from the same sender are handled in the order in which they were sent. name
// identifies the actor in the report of a panic.
func (s *System) Spawn(name string, handle func(ctx context.Context, message any)) *Mailbox {
	receive := func(actorCtx actor.Context) {
		received, ok := actorCtx.Message().(envelope)
		if !ok {
			return // a system message of the actor library
		}
		defer s.recoverPanic(name)
		handle(received.ctx, received.message)
	}
	props := actor.PropsFromFunc(receive, actor.WithDispatcher(dispatcher{system: s, name: name}))
	return &Mailbox{system: s, pid: s.engine.Root.Spawn(props)}
}

// Send queues a message for the actor, with a copy of the span in ctx. It never blocks.
// Cancelling ctx does not cancel the handling of the message.
func (m *Mailbox) Send(ctx context.Context, message any) {
	m.system.engine.Root.Send(m.pid, envelope{ctx: trace.CopySpan(context.WithoutCancel(ctx)), message: message})
}

// Ask sends a message to an actor and blocks until the response arrives or ctx ends. build
// returns the message; its argument is the channel on which the actor sends the response. ok
// is false if ctx ended first. The actor handles the message even then.
func Ask[T any](ctx context.Context, mailbox *Mailbox, build func(response chan<- T) any) (response T, ok bool) {
	responses := make(chan T, 1)
	mailbox.Send(ctx, build(responses))
	select {
	case response = <-responses:
		return response, true
	case <-ctx.Done():
		return response, false
	}
}
