package keyreplication

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"curlewwalk/internal/transport"
)

// ReplicaServer answers the calls of owners from a ReplicaStore. The goroutine that calls Run
// owns the store, and the handlers pass their operations to it.
type ReplicaServer struct {
	operations chan storeOperation
	// records and completed are the counts of the store after the latest operation.
	records, completed atomic.Int64
}

// storeOperation runs on the goroutine that owns the store. now is the time since Run was
// called.
type storeOperation func(store *ReplicaStore, now time.Duration)

// NewReplicaServer returns a server with an empty store. The handlers of the server block
// until Run is called.
func NewReplicaServer() *ReplicaServer {
	return &ReplicaServer{operations: make(chan storeOperation)}
}

// Run executes operations on the store until ctx ends.
func (s *ReplicaServer) Run(ctx context.Context) {
	store, start := NewReplicaStore(), time.Now()
	for {
		select {
		case do := <-s.operations:
			do(store, time.Since(start))
			records, completed := store.Count()
			s.records.Store(int64(records))
			s.completed.Store(int64(completed))
		case <-ctx.Done():
			return
		}
	}
}

// Count returns the number of records that are stored for other sidecars, and the number of
// those that have a response.
func (s *ReplicaServer) Count() (records, completed int64) {
	return s.records.Load(), s.completed.Load()
}

// Handlers returns the handlers of this package's calls by kind.
func (s *ReplicaServer) Handlers() map[string]transport.Handler {
	return map[string]transport.Handler{
		KindStore: handle(s, func(store *ReplicaStore, record Record, now time.Duration) StoreReply {
			return store.Store(record, now)
		}),
		KindRelease: handle(s, func(store *ReplicaStore, record Record, _ time.Duration) StoreReply {
			store.Release(record)
			return StoreReply{Accepted: true}
		}),
		KindHandover: handle(s, func(store *ReplicaStore, request HandoverRequest, now time.Duration) HandoverReply {
			return store.Handover(request, now)
		}),
	}
}

// Errors returned to the calling process. Their texts are part of the protocol.
var (
	errWrongBody = errors.New("not of this kind")
	errStopping  = errors.New("stopping")
)

// handle returns a handler that decodes the body of a call and passes it to answer on the
// goroutine that owns the store.
func handle[Body, Reply any](s *ReplicaServer, answer func(store *ReplicaStore, body Body, now time.Duration) Reply) transport.Handler {
	return func(ctx context.Context, request transport.Request) (any, error) {
		var body Body
		if !request.Decode(&body) {
			return nil, errWrongBody
		}
		reply := make(chan Reply, 1)
		select {
		case s.operations <- func(store *ReplicaStore, now time.Duration) { reply <- answer(store, body, now) }:
			return <-reply, nil
		case <-ctx.Done():
			return nil, errStopping
		}
	}
}
