package trace

import "sync/atomic"

// Span covers one call, from the client's start to its receipt of the response. Parent is
// zero for the root of a trace. The zero Span is none, and its counter must not be used.
// (DESIGN 2.1)
type Span struct {
	Trace  TraceID
	ID     ID
	Parent ID
	// counter is the logical counter that orders the events of different nodes without
	// clocks. Copies of the span and its children share it. (DESIGN 2.6)
	counter *atomic.Uint64
}

// Root returns the root of a new trace.
func Root() Span {
	id := NewID()
	return Span{Trace: TraceID{Lo: id}, ID: id, counter: new(atomic.Uint64)}
}

// Join returns the span that a message or header of another node names.
func Join(t TraceID, id, parent ID, counter uint64) Span {
	s := Span{Trace: t, ID: id, Parent: parent, counter: new(atomic.Uint64)}
	s.counter.Store(counter)
	return s
}

// Child returns a new span caused by s.
func (s Span) Child() Span {
	return Span{Trace: s.Trace, ID: NewID(), Parent: s.ID, counter: s.counter}
}

// IsZero reports whether there is no span.
func (s Span) IsZero() bool { return s.ID == 0 }

// NextCounter increments the logical counter and returns it.
func (s Span) NextCounter() uint64 { return s.counter.Add(1) }

// Counter returns the logical counter.
func (s Span) Counter() uint64 { return s.counter.Load() }

// AdvanceCounter sets the logical counter to that of another node, if it is ahead.
func (s Span) AdvanceCounter(counter uint64) {
	for {
		own := s.counter.Load()
		if own >= counter || s.counter.CompareAndSwap(own, counter) {
			return
		}
	}
}
