package proxy

import (
	"context"
	"sync"
	"time"
)

// clientWatch notes when the client of a request leaves: when it closes its connection, or
// that is lost. net/http tells of it through the request's context. What is under way for
// the client is recalled then, once. (DESIGN 10.7)
type clientWatch struct {
	mu         sync.Mutex
	leftAt     time.Time // zero while the client is there
	unregister func() bool
	// cancelAttempt recalls the attempt that is under way, if there is one.
	cancelAttempt func()
}

// watchConnection watches the client behind a request's context until end is called.
func watchConnection(client context.Context) *clientWatch {
	d := &clientWatch{}
	d.unregister = context.AfterFunc(client, d.clientLeft)
	return d
}

// ignoreClient is of a request that is gone on with, whether its client stays or not.
func ignoreClient() *clientWatch {
	return &clientWatch{unregister: func() bool { return true }}
}

// clientLeft takes that the client has left.
func (d *clientWatch) clientLeft() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leftAt = time.Now()
	if d.cancelAttempt != nil {
		d.cancelAttempt()
	}
}

// hasLeft tells whether the client has left.
func (d *clientWatch) hasLeft() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.leftAt.IsZero()
}

// cancelIfLeft has recall called if the client leaves before over is called, or has left already.
// recall must not wait.
func (d *clientWatch) cancelIfLeft(recall func()) (over func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelAttempt = recall
	if !d.leftAt.IsZero() {
		recall()
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.cancelAttempt = nil
	}
}

// finish ends the watch. It tells whether the client has left, and for how long the request
// went on after that.
func (d *clientWatch) finish() (left bool, after time.Duration) {
	d.unregister()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leftAt.IsZero() {
		return false, 0
	}
	return true, time.Since(d.leftAt)
}
