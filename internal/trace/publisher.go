package trace

import (
	"context"
	"time"
)

// finalFlushTimeout is how long Run may take to publish the remaining events after its context ends.
const finalFlushTimeout = time.Second

// SendFunc sends a batch of events to a collector, and reports whether the collector accepted it.
type SendFunc func(ctx context.Context, collector string, batch []Event) bool

// Publisher sends the events of a queue to the collectors of their traces. The collector of a trace
// is the control plane replica that stores its events. Several publishers may share a queue.
type Publisher struct {
	Queue *Queue
	// CollectorFor returns the address of a trace's collector. ok is false if the trace has no
	// collector; its events are then discarded and counted as failed.
	CollectorFor func(TraceID) (collector string, ok bool)
	Send         SendFunc
	// FlushInterval is the interval at which Run sends the batch that it has collected. A batch that
	// reaches MaxBatch events is sent immediately.
	FlushInterval time.Duration
	MaxBatch      int
}

// Run publishes events until ctx ends. It then publishes the remaining events of the queue and
// returns.
func (p *Publisher) Run(ctx context.Context) {
	tick := time.NewTicker(p.FlushInterval)
	defer tick.Stop()
	var batch []Event
	for {
		select {
		case e := <-p.Queue.events:
			batch = append(batch, e)
			if len(batch) >= p.MaxBatch {
				batch = p.flush(ctx, batch)
			}
		case <-tick.C:
			batch = p.flush(ctx, batch)
		case <-ctx.Done():
			p.drain(ctx, batch)
			return
		}
	}
}

// drain publishes a batch together with the remaining events of the queue. It is called after ctx
// has ended.
func (p *Publisher) drain(ctx context.Context, batch []Event) {
	for len(p.Queue.events) > 0 {
		batch = append(batch, <-p.Queue.events)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	p.flush(ctx, batch)
}

// flush sends each event of a batch to its collector, in one message per collector. It returns the
// batch with length 0 for reuse.
func (p *Publisher) flush(ctx context.Context, batch []Event) []Event {
	byCollector := map[string][]Event{}
	for _, e := range batch {
		collector, ok := p.CollectorFor(e.Trace)
		if !ok {
			p.Queue.failed.Add(1)
			continue
		}
		byCollector[collector] = append(byCollector[collector], e)
	}
	for collector, events := range byCollector {
		if p.Send(ctx, collector, events) {
			p.Queue.published.Add(uint64(len(events)))
		} else {
			p.Queue.failed.Add(uint64(len(events)))
		}
	}
	return batch[:0]
}
