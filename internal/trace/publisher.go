package trace

import (
	"context"
	"time"
)

// SendFunc delivers a batch for one collector; false means it was not taken.
type SendFunc func(ctx context.Context, collector string, batch []Event) bool

// Publisher drains a queue and publishes to each trace's collector.
type Publisher struct {
	Queue         *Queue
	CollectorFor  func(TraceID) (collector string, ok bool)
	Send          SendFunc
	FlushInterval time.Duration
	MaxBatch      int
}

// Run drains until ctx ends, then publishes what is left.
func (w *Publisher) Run(ctx context.Context) {
	tick := time.NewTicker(w.FlushInterval)
	defer tick.Stop()
	var batch []Event
	for {
		select {
		case e := <-w.Queue.events:
			batch = append(batch, e)
			if len(batch) >= w.MaxBatch {
				batch = w.flush(ctx, batch)
			}
		case <-tick.C:
			batch = w.flush(ctx, batch)
		case <-ctx.Done():
			for len(w.Queue.events) > 0 {
				batch = append(batch, <-w.Queue.events)
			}
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			w.flush(last, batch)
			cancel()
			return
		}
	}
}

func (w *Publisher) flush(ctx context.Context, batch []Event) []Event {
	byCollector := map[string][]Event{}
	for _, e := range batch {
		c, ok := w.CollectorFor(e.Trace)
		if !ok {
			w.Queue.failed.Add(1)
			continue
		}
		byCollector[c] = append(byCollector[c], e)
	}
	for c, part := range byCollector {
		if w.Send(ctx, c, part) {
			w.Queue.published.Add(uint64(len(part)))
		} else {
			w.Queue.failed.Add(uint64(len(part)))
		}
	}
	return batch[:0]
}
