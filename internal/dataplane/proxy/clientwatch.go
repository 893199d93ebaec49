package proxy

import (
	"context"
	"sync"
	"time"
)

// clientWatch detects when the client of a request closes or loses its connection, through the
// context of the net/http request. The attempt in progress is then canceled. The watch cancels each
// attempt at most once. (DESIGN 10.7)
type clientWatch struct {
	// unregister stops watching the client's context.
	unregister func() bool

	mu sync.Mutex
	// leftAt is when the client disconnected. It is zero while the client is connected.
	leftAt time.Time
	// cancelAttempt cancels the attempt in progress. It is nil if there is none.
	cancelAttempt func()
}

// watchConnection watches the client behind a request's context until finish is called.
func watchConnection(client context.Context) *clientWatch {
	w := &clientWatch{}
	w.unregister = context.AfterFunc(client, w.clientLeft)
	return w
}

// ignoreClient returns the watch of a request that continues even if its client disconnects. The
// watch never reports a disconnection.
func ignoreClient() *clientWatch {
	return &clientWatch{unregister: func() bool { return true }}
}

// clientLeft is called when the client has disconnected.
func (w *clientWatch) clientLeft() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leftAt = time.Now()
	if w.cancelAttempt != nil {
		w.cancelAttempt()
	}
}

// hasLeft reports whether the client has disconnected.
func (w *clientWatch) hasLeft() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.leftAt.IsZero()
}

// cancelIfLeft calls cancel if the client has already disconnected, or disconnects before stop is
// called. cancel must not block.
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

// finish stops the watch. It reports whether the client has disconnected, and for how long the
// request continued afterwards.
func (w *clientWatch) finish() (left bool, after time.Duration) {
	w.unregister()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leftAt.IsZero() {
		return false, 0
	}
	return true, time.Since(w.leftAt)
}
