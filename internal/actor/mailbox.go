package actor

import (
	"context"

	"github.com/asynkron/protoactor-go/actor"

	"curlewwalk/internal/trace"
)

// Mailbox is the address of a part that runs as an actor.
type Mailbox struct {
	l   *Launcher
	pid *actor.PID
}

// parcel carries a message together with the sender's span.
type parcel struct {
	ctx context.Context
	msg any
}

// Spawn starts a part as an actor: on is called with one message at a time.
func (l *Launcher) Spawn(name string, on func(ctx context.Context, msg any)) *Mailbox {
	receive := func(c actor.Context) {
		p, ok := c.Message().(parcel)
		if !ok {
			return
		}
		defer l.guard(name)
		on(p.ctx, p.msg)
	}
	props := actor.PropsFromFunc(receive, actor.WithDispatcher(dispatcher{l: l, name: name}))
	return &Mailbox{l: l, pid: l.sys.Root.Spawn(props)}
}

// Send hands a message over with a copy of the sender's span; it never waits.
func (m *Mailbox) Send(ctx context.Context, msg any) {
	m.l.sys.Root.Send(m.pid, parcel{ctx: trace.CopySpan(context.WithoutCancel(ctx)), msg: msg})
}

// Ask sends what build makes of a response channel and waits for the response.
func Ask[T any](ctx context.Context, m *Mailbox, build func(response chan<- T) any) (T, bool) {
	ch := make(chan T, 1)
	m.Send(ctx, build(ch))
	select {
	case v := <-ch:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}
