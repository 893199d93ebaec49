package trace

import (
	"context"
	"time"
)

// Send delivers a batch for one collector; false means it was not taken.
type Send func(ctx context.Context, collector string, batch []Event) bool

// Worker drains a queue and publishes to each trace's collector.
type Worker struct {
	Queue   *Queue
	Choose  func(TraceID) (collector string, ok bool)
	Send    Send
	Linger  time.Duration
	MaxSize int
}

// Run drains until ctx ends, then publishes what is left.
func (w *Worker) Run(ctx context.Context) {
	tick := time.NewTicker(w.Linger)
	defer tick.Stop()
	var batch []Event
	for {
		select {
		case e := <-w.Queue.ch:
			batch = append(batch, e)
			if len(batch) >= w.MaxSize {
				batch = w.flush(ctx, batch)
			}
		case <-tick.C:
			batch = w.flush(ctx, batch)
		case <-ctx.Done():
			for len(w.Queue.ch) > 0 {
				batch = append(batch, <-w.Queue.ch)
			}
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			w.flush(last, batch)
			cancel()
			return
		}
	}
}

func (w *Worker) flush(ctx context.Context, batch []Event) []Event {
	byCollector := map[string][]Event{}
	for _, e := range batch {
		c, ok := w.Choose(e.Trace)
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
