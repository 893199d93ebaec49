package actor

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"

	"github.com/asynkron/protoactor-go/actor"

	"curlewwalk/internal/trace"
)

// PanicHandler is called when a goroutine or actor panics. name is the name it was started with,
// cause is the value of the panic. A panic means a broken invariant, so the handler should end
// the process.
type PanicHandler func(name string, cause any, stack []byte)

// System starts all goroutines and actors of a process.
type System struct {
	engine  *actor.ActorSystem
	onPanic PanicHandler
	running sync.WaitGroup
}

// New returns a system. The actor library logs to log. onPanic is called for each panic.
func New(log *slog.Logger, onPanic PanicHandler) *System {
	logger := func(*actor.ActorSystem) *slog.Logger { return log }
	return &System{engine: actor.NewActorSystem(actor.WithLoggerFactory(logger)), onPanic: onPanic}
}

// Go runs fn in a new goroutine, with a copy of the span in ctx. name identifies the goroutine
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

// Done returns a channel that is closed when all goroutines have ended.
func (s *System) Done() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	return done
}

// Stop stops the actors. It does not stop goroutines started by Go, which end with their
// contexts.
func (s *System) Stop() { s.engine.Shutdown() }

// recoverPanic recovers from a panic and passes it to onPanic. It must be deferred directly, since
// recover has no effect in a function that a deferred function calls.
func (s *System) recoverPanic(name string) {
	if cause := recover(); cause != nil {
		s.onPanic(name, cause, debug.Stack())
	}
}
