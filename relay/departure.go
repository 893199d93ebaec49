package relay

import (
	"context"
	"sync"
	"time"
)

// departure notes when the client of a request left: it closed its connection, or its
// connection was lost. net/http tells of it through the request's context.
type departure struct {
	mu   sync.Mutex
	at   time.Time // zero while the client is there
	stop func() bool
}

// watchClient watches the client behind a request's context until end is called.
func watchClient(client context.Context) *departure {
	d := &departure{}
	d.stop = context.AfterFunc(client, d.note)
	return d
}

func (d *departure) note() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = time.Now()
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
