package tracestore

import "curlewwalk/internal/trace"

const (
	// maxTraces bounds the traces that are kept.
	maxTraces = 20000 // (ours)
	// maxEvents bounds the events that are kept of one trace; later ones are dropped.
	maxEvents = 2000 // (ours)
)

// traceTable has the events of the newest traces. Beyond maxTraces, the trace whose first event
// came first is evicted.
type traceTable struct {
	byID map[trace.TraceID][]trace.Event
	// order has the traces in the order of their first events.
	order []trace.TraceID
}

func newTraceTable() *traceTable {
	return &traceTable{byID: map[trace.TraceID][]trace.Event{}}
}

// add stores a batch of events.
func (t *traceTable) add(batch []trace.Event) {
	for _, event := range batch {
		t.addEvent(event)
	}
	for len(t.order) > maxTraces {
		delete(t.byID, t.order[0])
		t.order = t.order[1:]
	}
}

func (t *traceTable) addEvent(event trace.Event) {
	events, known := t.byID[event.Trace]
	if !known {
		t.order = append(t.order, event.Trace)
	}
	if len(events) < maxEvents {
		t.byID[event.Trace] = append(events, event)
	}
}
