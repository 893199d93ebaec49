package tracestore

import (
	"testing"

	"curlewwalk/internal/trace"
)

// The table keeps the newest maxTraces traces, and the first maxEvents events of each trace.
func TestTableIsBounded(t *testing.T) {
	event := func(traceID, span trace.ID) trace.Event {
		return trace.Event{Trace: trace.TraceID{Lo: traceID}, Span: span}
	}
	t.Run("traces", func(t *testing.T) {
		table := newTraceTable()
		const extra = 3
		for id := range trace.ID(maxTraces + extra) {
			table.add([]trace.Event{event(id, 1)})
		}
		if len(table.byID) != maxTraces || len(table.order) != maxTraces {
			t.Errorf("got %d traces by ID and %d in order, want maxTraces", len(table.byID), len(table.order))
		}
		for id := range trace.ID(maxTraces + extra) {
			if _, kept := table.byID[trace.TraceID{Lo: id}]; kept != (id >= extra) {
				t.Errorf("trace %d of %d: got kept %v, want the opposite", id, maxTraces+extra, kept)
			}
		}
	})
	t.Run("events", func(t *testing.T) {
		table := newTraceTable()
		for span := range trace.ID(maxEvents + 1) {
			table.add([]trace.Event{event(1, span)})
		}
		events := table.byID[trace.TraceID{Lo: 1}]
		if len(events) != maxEvents || events[len(events)-1].Span != maxEvents-1 {
			t.Errorf("got %d events, want the first maxEvents", len(events))
		}
	})
}
