// Package actor is the one place where goroutines start. It is the thread
// factory of the tracing design: whatever it starts gets its own copy of the
// span that its parent held. (DESIGN 2.3)
package actor

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"

	"github.com/asynkron/protoactor-go/actor"

	"curlewwalk/internal/trace"
)

// Launcher starts every goroutine and every actor of a process.
type Launcher struct {
	sys *actor.ActorSystem
	log *slog.Logger
	// broken is told of a panic: a broken invariant, which stops the process.
	broken func(name string, cause any, stack []byte)
	wg     sync.WaitGroup
}

// New makes a launcher; broken hears of broken invariants.
func New(log *slog.Logger, broken func(name string, cause any, stack []byte)) *Launcher {
	l := &Launcher{log: log, broken: broken}
	l.sys = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return log }))
	return l
}

// Go starts fn on its own goroutine with a copy of the caller's span.
func (l *Launcher) Go(ctx context.Context, name string, fn func(ctx context.Context)) {
	child := trace.CopySpan(ctx)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer l.guard(name)
		fn(child)
	}()
}

// Idle is closed when all that was started has ended.
func (l *Launcher) Idle() <-chan struct{} {
	ch := make(chan struct{})
	go func() {
		l.wg.Wait()
		close(ch)
	}()
	return ch
}

// Stop ends the actor system.
func (l *Launcher) Stop() { l.sys.Shutdown() }

func (l *Launcher) guard(name string) {
	if r := recover(); r != nil {
		l.broken(name, r, debug.Stack())
	}
}
