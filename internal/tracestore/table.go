package tracestore

import "curlewwalk/internal/trace"

const (
	// maxTraces bounds the number of stored traces.
	maxTraces = 20000
	// maxEvents bounds the number of stored events of one trace. Later events are dropped.
	maxEvents = 2000
)

// traceTable stores the events of the newest traces. If there are more than maxTraces traces, it
// evicts the trace whose first event arrived earliest.
type traceTable struct {
	byID map[trace.TraceID][]trace.Event
	// order lists the traces in the order in which their first events arrived.
	order []trace.TraceID
}

func newTraceTable() *traceTable {
	return &traceTable{byID: map[trace.TraceID][]trace.Event{}}
}

// add stores a batch of events and evicts the oldest traces beyond maxTraces.
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
