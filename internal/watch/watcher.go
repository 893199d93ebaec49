package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

// maxWait is how long a replica may wait for an event before it responds.
const maxWait = 500 * time.Millisecond

// WatcherConfig identifies the sidecar of a Watcher.
type WatcherConfig struct {
	// Addr and Zone are those of the sidecar.
	Addr string
	Zone string
}

// WatcherDeps are the dependencies of a Watcher.
type WatcherDeps struct {
	Client *transport.Client
	// Replicas returns the known replicas. HeartbeatNow starts a search for missing ones.
	Replicas     func() membership.ReplicaTable
	HeartbeatNow func()
	// OnUpdates is called with each response, in order, and the replica that sent it. The next
	// request is sent after OnUpdates has returned. Updates.Age counts back from requestedAt, when
	// the request was sent.
	OnUpdates func(ctx context.Context, replica membership.Replica, updates Updates, requestedAt time.Time)
}

// Watcher receives a sidecar's updates from one replica and switches to another one if that replica
// fails. (DESIGN 8.2)
type Watcher struct {
	WatcherConfig
	WatcherDeps
}

// NewWatcher returns a Watcher.
func NewWatcher(cfg WatcherConfig, deps WatcherDeps) *Watcher {
	return &Watcher{WatcherConfig: cfg, WatcherDeps: deps}
}

// Run watches until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	s := &session{watcher: w, selector: newReplicaSelector(w.Addr, w.Zone)}
	pause := time.NewTimer(0)
	defer pause.Stop()
	<-pause.C
	for ctx.Err() == nil {
		if s.poll(ctx) {
			continue
		}
		pause.Reset(jitter(max(initialBackoff, s.selector.backoff)))
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}

// session is the state of a running Watcher.
type session struct {
	watcher  *Watcher
	selector *replicaSelector
	decoder  StateDecoder
	// replica is the watched replica. req is the request that follows its last response.
	replica membership.Replica
	req     Request
}

// poll sends one request and handles its response. It reports whether the next request is due at
// once rather than after a pause.
func (s *session) poll(ctx context.Context) (immediately bool) {
	w := s.watcher
	next, ok := s.selector.choose(w.Replicas().Live(time.Now()), time.Now())
	if !ok {
		s.selector.growBackoff()
		w.HeartbeatNow()
		return false
	}
	if next.Addr != s.replica.Addr || next.Incarnation != s.replica.Incarnation {
		s.replica, s.req = next, Request{Wait: maxWait}
	}
	requestedAt := time.Now()
	updates, ok := w.request(ctx, s.replica, s.decoder.Prepare(s.req), s.selector.timeout)
	if !ok {
		s.selector.recordFailure(time.Since(requestedAt) >= s.selector.timeout, time.Now())
		return false
	}
	if !s.decoder.Decode(&updates) {
		return true // the next poll requests the same updates without patches
	}
	s.req.LogID, s.req.Offset = updates.LogID, updates.Offset
	w.OnUpdates(ctx, s.replica, updates, requestedAt)
	s.selector.recordResponse(updates.Age, time.Now())
	return updates.Age <= maxConfirmationAge
}

// request sends a request to a replica. ok is false if no response arrived in time.
func (w *Watcher) request(ctx context.Context, replica membership.Replica, req Request, timeout time.Duration) (updates Updates, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ok = w.Client.Call(ctx, replica.Addr, transport.WatchTraffic, KindWatch, req).Decode(&updates)
	return updates, ok
}

// jitter returns a pause that is longer than the given one by up to a half, so that watchers that
// lost the same replica do not all reconnect at the same time.
func jitter(pause time.Duration) time.Duration {
	return pause + time.Duration(rand.Int64N(int64(pause/2)))
}
