package actor

import (
	"context"

	"github.com/asynkron/protoactor-go/actor"

	"curlewwalk/internal/trace"
)

// Mailbox is the address of a part that runs as an actor.
type Mailbox struct {
	system *System
	pid    *actor.PID
}

// envelope carries a message together with the sender's span.
type envelope struct {
	ctx     context.Context
	message any
}

// Spawn starts a part as an actor: on is called with one message at a time.
func (s *System) Spawn(name string, handle func(ctx context.Context, msg any)) *Mailbox {
	receive := func(actorCtx actor.Context) {
		received, ok := actorCtx.Message().(envelope)
		if !ok {
			return
		}
		defer s.recoverPanic(name)
		handle(received.ctx, received.message)
	}
	props := actor.PropsFromFunc(receive, actor.WithDispatcher(dispatcher{system: s, name: name}))
	return &Mailbox{system: s, pid: s.engine.Root.Spawn(props)}
}

// Send hands a message over with a copy of the sender's span; it never waits.
func (m *Mailbox) Send(ctx context.Context, message any) {
	m.system.engine.Root.Send(m.pid, envelope{ctx: trace.CopySpan(context.WithoutCancel(ctx)), message: message})
}

// Ask sends what build makes of a response channel and waits for the response.
func Ask[T any](ctx context.Context, mailbox *Mailbox, build func(response chan<- T) any) (T, bool) {
	responses := make(chan T, 1)
	mailbox.Send(ctx, build(responses))
	select {
	case v := <-responses:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}
