package keyreplication

import (
	"context"
	"sync/atomic"
	"time"

	"curlewwalk/internal/transport"
)

// ReplicaServer runs Holdings. Its loop is the only one to touch them.
type ReplicaServer struct {
	operations         chan func(s *ReplicaStore, now time.Duration)
	records, completed atomic.Int64
}

// NewReplicaServer makes a holder.
func NewReplicaServer() *ReplicaServer {
	return &ReplicaServer{operations: make(chan func(*ReplicaStore, time.Duration))}
}

// Run owns the holdings until ctx ends.
func (s *ReplicaServer) Run(ctx context.Context) {
	store, start := NewReplicaStore(), time.Now()
	for {
		select {
		case operation := <-s.operations:
			operation(store, time.Since(start))
			records, completed := store.Count()
			s.records.Store(int64(records))
			s.completed.Store(int64(completed))
		case <-ctx.Done():
			return
		}
	}
}

// Count is how many claims are held for others, and how many of them with a
// response.
func (s *ReplicaServer) Count() (records, completed int64) {
	return s.records.Load(), s.completed.Load()
}

// handle has the loop answer a call whose body is a Q.
func handle[Q, A any](s *ReplicaServer, serve func(store *ReplicaStore, body Q, now time.Duration) A) transport.Handler {
	return func(ctx context.Context, request transport.Request) (any, string) {
		var body Q
		if !request.Decode(&body) {
			return nil, "not of this kind"
		}
		reply := make(chan A, 1)
		select {
		case s.operations <- func(store *ReplicaStore, now time.Duration) { reply <- serve(store, body, now) }:
			return <-reply, ""
		case <-ctx.Done():
			return nil, "stopping"
		}
	}
}

// Handlers answer the calls of owners.
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
