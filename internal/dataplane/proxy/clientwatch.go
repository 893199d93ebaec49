package proxy

import (
	"context"
	"sync"
	"time"
)

// clientWatch tells when the client of a request leaves: when it closes its connection, or the
// connection is lost. net/http tells that through the request's context. The attempt that is
// under way for the client is canceled then, once. (DESIGN 10.7)
type clientWatch struct {
	// unregister ends the watch of the client's context.
	unregister func() bool

	mu sync.Mutex
	// leftAt is when the client has left; zero while it is there.
	leftAt time.Time
	// cancelAttempt cancels the attempt that is under way; nil if there is none.
	cancelAttempt func()
}

// watchConnection watches the client behind a request's context until finish is called.
func watchConnection(client context.Context) *clientWatch {
	w := &clientWatch{}
	w.unregister = context.AfterFunc(client, w.clientLeft)
	return w
}

// ignoreClient returns the watch of a request that goes on whether its client stays or not.
func ignoreClient() *clientWatch {
	return &clientWatch{unregister: func() bool { return true }}
}

// clientLeft is called when the client has left.
func (w *clientWatch) clientLeft() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leftAt = time.Now()
	if w.cancelAttempt != nil {
		w.cancelAttempt()
	}
}

// hasLeft reports whether the client has left.
func (w *clientWatch) hasLeft() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.leftAt.IsZero()
}

// cancelIfLeft calls cancel if the client leaves before stop is called, or has left already.
// cancel must not block.
func (w *clientWatch) cancelIfLeft(cancel func()) (stop func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelAttempt = cancel
	if !w.leftAt.IsZero() {
		cancel()
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cancelAttempt = nil
	}
}

// finish ends the watch. It reports whether the client has left, and for how long the request went
// on after that.
func (w *clientWatch) finish() (left bool, after time.Duration) {
	w.unregister()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leftAt.IsZero() {
		return false, 0
	}
	return true, time.Since(w.leftAt)
}
