package endpoints

import (
	"context"
	"sync"
	"time"
)

// Desk is a backend's line with those who stand in it.
type Desk struct {
	mu    sync.Mutex
	line  Line
	drip  Drip
	wake  map[uint64]chan bool
	start time.Time
}

// NewDesk makes an empty desk.
func NewDesk() *Desk { return &Desk{wake: map[uint64]chan bool{}, start: time.Now()} }

// Open is how many requests run or wait.
func (d *Desk) Open() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.line.Full()
}

// Enter asks for a place at the backend, and waits for it if the line says so.
// done must be called when the run has ended, and be told whether it was stopped; without
// done, back tells when to come again. limit is asked at each change.
func (d *Desk) Enter(ctx context.Context, b Bid, limit func() int64) (done func(stopped bool), back time.Duration) {
	d.mu.Lock()
	v, id, back, s := d.line.Ask(b, limit(), time.Since(d.start))
	var turn chan bool
	if v == Wait {
		turn = make(chan bool, 1)
		d.wake[id] = turn
	}
	d.tell(s)
	d.mu.Unlock()
	if v == Refuse {
		return nil, back
	}
	if v == Wait && !d.stand(ctx, id, turn) {
		return nil, 0
	}
	began := time.Now()
	return func(stopped bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Since(d.start)
		if stopped {
			d.tell(d.line.Abandon(limit(), now))
			return
		}
		d.tell(d.line.Done(b.Route, time.Since(began), limit(), now))
	}, 0
}

// Drip lets an attempt in to a cold backend, of a rate a second, or tells when to come
// again. up is how long the sidecar has been up.
func (d *Desk) Drip(rate float64, up time.Duration) (ok bool, back time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drip.Ask(rate, time.Since(d.start), up)
}

// stand waits for the turn; false if it was refused or its time is over.
func (d *Desk) stand(ctx context.Context, id uint64, turn chan bool) bool {
	select {
	case ok := <-turn:
		return ok
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.line.Quit(id) {
		delete(d.wake, id)
		return false
	}
	return <-turn // it was told in the meantime
}

func (d *Desk) tell(s Shift) {
	for _, id := range s.Run {
		d.wake[id] <- true
		delete(d.wake, id)
	}
	for _, id := range s.Refused {
		d.wake[id] <- false
		delete(d.wake, id)
	}
}
