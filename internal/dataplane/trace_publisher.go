package dataplane

import (
	"context"
	"slices"
	"strconv"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/transport"
)

const (
	// tracePublishers is the number of goroutines that drain the trace queue.
	tracePublishers = 2
	// traceFlushInterval is the maximum time for which an event waits for its batch to fill.
	traceFlushInterval = 300 * time.Millisecond
	// maxTraceBatch is the maximum number of events in a batch.
	maxTraceBatch = 256
	// tracePublishTimeout bounds the time for storing a batch.
	tracePublishTimeout = time.Second
)

// newTracePublisher returns a new publisher of trace events.
func (s *Sidecar) newTracePublisher() *trace.Publisher {
	return &trace.Publisher{
		Queue:         s.traceQueue,
		CollectorFor:  s.collectorFor,
		Send:          s.publishTraces,
		FlushInterval: traceFlushInterval,
		MaxBatch:      maxTraceBatch,
	}
}

// collectorFor returns the address of the control plane replica that stores a trace. It is
// the first live replica in the rendezvous order of the trace ID. Replicas in the sidecar's
// own zone are preferred, if any are live. ok is false if no replica is live. (DESIGN 2.6)
func (s *Sidecar) collectorFor(id trace.TraceID) (addr string, ok bool) {
	live := s.discovery.Replicas().Live(time.Now())
	inZone := slices.DeleteFunc(slices.Clone(live), func(replica membership.Replica) bool { return replica.Zone != s.settings.Zone })
	if len(inZone) > 0 {
		live = inZone
	}
	if len(live) == 0 {
		return "", false
	}
	ranked := rendezvous.Rank(id.String(), live, func(replica membership.Replica) string { return strconv.Itoa(replica.MemberID) })
	return ranked[0].Addr, true
}

// publishTraces sends a batch of events to a collector and reports whether the collector
// stored it.
func (s *Sidecar) publishTraces(ctx context.Context, collector string, batch []trace.Event) bool {
	ctx, cancel := context.WithTimeout(ctx, tracePublishTimeout)
	defer cancel()
	request := tracestore.Batch{Events: slices.Clone(batch)}
	var reply tracestore.PublishReply
	return s.process.TransportClient.Call(ctx, collector, transport.ControlTraffic, tracestore.KindPublish, request).Decode(&reply)
}
