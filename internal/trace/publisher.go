package trace

import (
	"context"
	"time"
)

// finalFlushTimeout bounds the publishing of what is left when Run ends.
const finalFlushTimeout = time.Second

// SendFunc sends a batch of events to a collector, and reports whether it was accepted.
type SendFunc func(ctx context.Context, collector string, batch []Event) bool

// Publisher sends the events of a queue to the collectors of their traces. Several may share
// a queue.
type Publisher struct {
	Queue *Queue
	// CollectorFor returns the address of a trace's collector; ok is false if there is
	// none, and then the events count as failed.
	CollectorFor func(TraceID) (collector string, ok bool)
	Send         SendFunc
	// FlushInterval and MaxBatch bound how long events wait, and how many of them, before
	// they are sent.
	FlushInterval time.Duration
	MaxBatch      int
}

// Run publishes until ctx ends, and then what is left in the queue.
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

// drain publishes a batch and what is left in the queue, after the end of ctx.
func (p *Publisher) drain(ctx context.Context, batch []Event) {
	for len(p.Queue.events) > 0 {
		batch = append(batch, <-p.Queue.events)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	p.flush(ctx, batch)
}

// flush sends a batch, split by collector, and returns it empty for reuse.
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
