package actor

import (
	"context"

	"github.com/asynkron/protoactor-go/actor"

	"curlewwalk/internal/trace"
)

// Mailbox is how messages reach an actor.
type Mailbox struct {
	system *System
	pid    *actor.PID
}

// envelope carries a message together with the sender's span.
type envelope struct {
	ctx     context.Context
	message any
}

// Spawn starts an actor: handle is called with one message at a time, in the order in which
// each sender sent them. name identifies the actor in the report of a panic.
func (s *System) Spawn(name string, handle func(ctx context.Context, message any)) *Mailbox {
	receive := func(actorCtx actor.Context) {
		received, ok := actorCtx.Message().(envelope)
		if !ok {
			return // a message of the library's own
		}
		defer s.recoverPanic(name)
		handle(received.ctx, received.message)
	}
	props := actor.PropsFromFunc(receive, actor.WithDispatcher(dispatcher{system: s, name: name}))
	return &Mailbox{system: s, pid: s.engine.Root.Spawn(props)}
}

// Send hands a message over, with a copy of the span in ctx. It never blocks, and the end of
// ctx does not end the handling.
func (m *Mailbox) Send(ctx context.Context, message any) {
	m.system.engine.Root.Send(m.pid, envelope{ctx: trace.CopySpan(context.WithoutCancel(ctx)), message: message})
}

// Ask sends the message that build makes of a channel for the response, and waits for the
// response. ok is false if ctx ended first; the message is handled all the same.
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
