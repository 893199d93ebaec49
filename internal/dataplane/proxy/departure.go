package proxy

import (
	"context"
	"sync"
	"time"
)

// departure notes when the client of a request leaves: when it closes its connection, or
// that is lost. net/http tells of it through the request's context. What is under way for
// the client is recalled then, once. (DESIGN 10.7)
type departure struct {
	mu   sync.Mutex
	at   time.Time // zero while the client is there
	stop func() bool
	// recall recalls the attempt that is under way, if there is one.
	recall func()
}

// watchClient watches the client behind a request's context until end is called.
func watchClient(client context.Context) *departure {
	d := &departure{}
	d.stop = context.AfterFunc(client, d.note)
	return d
}

// ignoreClient is of a request that is gone on with, whether its client stays or not.
func ignoreClient() *departure {
	return &departure{stop: func() bool { return true }}
}

// note takes that the client has left.
func (d *departure) note() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = time.Now()
	if d.recall != nil {
		d.recall()
	}
}

// left tells whether the client has left.
func (d *departure) left() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.at.IsZero()
}

// during has recall called if the client leaves before over is called, or has left already.
// recall must not wait.
func (d *departure) during(recall func()) (over func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recall = recall
	if !d.at.IsZero() {
		recall()
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.recall = nil
	}
}

// end ends the watch. It tells whether the client has left, and for how long the request
// went on after that.
func (d *departure) end() (left bool, after time.Duration) {
	d.stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at.IsZero() {
		return false, 0
	}
	return true, time.Since(d.at)
}
