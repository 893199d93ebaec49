package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

// maxWait is how long a core may hold a Follow.
const maxWait = 500 * time.Millisecond // (ours)

// Watcher follows one core's feed and changes core on loss. (DESIGN 8.2)
type Watcher struct {
	Addr         string
	Zone         string
	Replicas     func() membership.ReplicaTable
	Client       *transport.Client
	HeartbeatNow func()
	// OnUpdates is handed each piece of news in order, with the core it came from.
	// What the core was sure of counts from when it was asked.
	OnUpdates func(ctx context.Context, replica membership.Replica, updates Updates, asked time.Time)
}

// Run follows until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var req Request
	var replica membership.Replica
	var decoder StateDecoder
	selector := newReplicaSelector(w.Addr, w.Zone)
	pause := time.NewTimer(0)
	defer pause.Stop()
	<-pause.C
	for ctx.Err() == nil {
		next, ok := selector.choose(w.Replicas().Live(time.Now()), time.Now())
		if !ok {
			selector.growBackoff()
			w.HeartbeatNow()
		} else {
			if next.Addr != replica.Addr || next.Incarnation != replica.Incarnation {
				replica, req = next, Request{Wait: maxWait}
			}
			asked := time.Now()
			updates, answered := w.request(ctx, replica, decoder.Prepare(req), selector.timeout)
			if answered && !decoder.Decode(&updates) {
				continue // the same is told whole now
			}
			if answered {
				req.LogID, req.Offset = updates.LogID, updates.Offset
				w.OnUpdates(ctx, replica, updates, asked)
				selector.recordResponse(updates.Age, time.Now())
				if updates.Age <= maxConfirmationAge {
					continue
				}
			} else {
				selector.recordFailure(time.Since(asked) >= selector.timeout, time.Now())
			}
		}
		pause.Reset(jitter(max(initialBackoff, selector.backoff)))
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}

// request asks a core for what came after a place; false if no answer came in time.
func (w *Watcher) request(ctx context.Context, replica membership.Replica, req Request, timeout time.Duration) (updates Updates, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ok = w.Client.Call(ctx, replica.Addr, transport.WatchTraffic, KindWatch, req).Decode(&updates)
	return updates, ok
}

// jitter is a pause, by up to half of it longer, so that those who lost the same core do
// not come back together.
func jitter(pause time.Duration) time.Duration {
	return pause + time.Duration(rand.Int64N(int64(pause/2)))
}
