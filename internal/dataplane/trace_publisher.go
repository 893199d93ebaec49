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
	// tracePublishers is how many goroutines drain the trace queue. (ours)
	tracePublishers = 2
	// traceFlushInterval is how long events wait for others to be published with. (ours)
	traceFlushInterval = 300 * time.Millisecond
	// maxTraceBatch is how many events are published at a time. (ours)
	maxTraceBatch = 256
	// tracePublishTimeout is how long a batch may take to be stored. (ours)
	tracePublishTimeout = time.Second
)

// newTracePublisher makes one of the loops that publish trace events.
func (s *Sidecar) newTracePublisher() *trace.Publisher {
	return &trace.Publisher{
		Queue:         s.traceQueue,
		CollectorFor:  s.collectorFor,
		Send:          s.publishTraces,
		FlushInterval: traceFlushInterval,
		MaxBatch:      maxTraceBatch,
	}
}

// collectorFor is the address of the control plane replica that stores a trace: the first
// live one by rendezvous of the trace id, of those in the own zone if there are any. ok is
// false if none is live. (DESIGN 2.6)
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

// publishTraces sends a batch of events to a collector, and reports whether it took them.
func (s *Sidecar) publishTraces(ctx context.Context, collector string, batch []trace.Event) bool {
	ctx, cancel := context.WithTimeout(ctx, tracePublishTimeout)
	defer cancel()
	request := tracestore.Batch{Events: slices.Clone(batch)}
	var reply tracestore.PublishReply
	return s.process.TransportClient.Call(ctx, collector, transport.ControlTraffic, tracestore.KindPublish, request).Decode(&reply)
}
