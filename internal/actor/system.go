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

// System starts every goroutine and every actor of a process.
type System struct {
	engine *actor.ActorSystem
	log    *slog.Logger
	// onPanic is told of a panic: a broken invariant, which stops the process.
	onPanic func(name string, cause any, stack []byte)
	wg      sync.WaitGroup
}

// New makes a launcher; broken hears of broken invariants.
func New(log *slog.Logger, onPanic func(name string, cause any, stack []byte)) *System {
	system := &System{log: log, onPanic: onPanic}
	system.engine = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return log }))
	return system
}

// Go starts fn on its own goroutine with a copy of the caller's span.
func (s *System) Go(ctx context.Context, name string, fn func(ctx context.Context)) {
	child := trace.CopySpan(ctx)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer s.recoverPanic(name)
		fn(child)
	}()
}

// Done is closed when all that was started has ended.
func (s *System) Done() <-chan struct{} {
	ch := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ch)
	}()
	return ch
}

// Stop ends the actor system.
func (s *System) Stop() { s.engine.Shutdown() }

func (s *System) recoverPanic(name string) {
	if r := recover(); r != nil {
		s.onPanic(name, r, debug.Stack())
	}
}
