package actor

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"

	"github.com/asynkron/protoactor-go/actor"

	"curlewwalk/internal/trace"
)

// PanicHandler is called with a panic: a broken invariant of the part with that name. It
// should end the process.
type PanicHandler func(name string, cause any, stack []byte)

// System starts every goroutine and every actor of a process.
type System struct {
	engine  *actor.ActorSystem
	onPanic PanicHandler
	running sync.WaitGroup
}

// New makes a system; the actor library logs to log.
func New(log *slog.Logger, onPanic PanicHandler) *System {
	logger := func(*actor.ActorSystem) *slog.Logger { return log }
	return &System{engine: actor.NewActorSystem(actor.WithLoggerFactory(logger)), onPanic: onPanic}
}

// Go runs fn on a goroutine of its own, with a copy of the span in ctx. name identifies it
// in the report of a panic.
func (s *System) Go(ctx context.Context, name string, fn func(ctx context.Context)) {
	child := trace.CopySpan(ctx)
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer s.recoverPanic(name)
		fn(child)
	}()
}

// Done returns a channel that is closed when all that was started has ended.
func (s *System) Done() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	return done
}

// Stop ends the actors. Goroutines end by their contexts.
func (s *System) Stop() { s.engine.Shutdown() }

// recoverPanic reports a panic. It must be deferred itself.
func (s *System) recoverPanic(name string) {
	if cause := recover(); cause != nil {
		s.onPanic(name, cause, debug.Stack())
	}
}
