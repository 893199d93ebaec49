package trace

import "sync/atomic"

// Span represents one call, from the client's start of the call to its receipt of the response.
// Parent is zero for the root of a trace. The zero Span means that there is no span; its counter
// methods must not be called. (DESIGN 2.1)
type Span struct {
	Trace  TraceID
	ID     ID
	Parent ID
	// counter is the logical counter, which orders the events of different nodes without
	// synchronized clocks. Copies of the span and its children share it. (DESIGN 2.6)
	counter *atomic.Uint64
}

// Root returns the root span of a new trace.
func Root() Span {
	id := NewID()
	return Span{Trace: TraceID{Lo: id}, ID: id, counter: new(atomic.Uint64)}
}

// Join returns the span that a message or the headers from another node identify. counter is the
// initial value of the logical counter.
func Join(t TraceID, id, parent ID, counter uint64) Span {
	s := Span{Trace: t, ID: id, Parent: parent, counter: new(atomic.Uint64)}
	s.counter.Store(counter)
	return s
}

// Child returns a new span whose parent is s.
func (s Span) Child() Span {
	return Span{Trace: s.Trace, ID: NewID(), Parent: s.ID, counter: s.counter}
}

// IsZero reports whether s is the zero Span.
func (s Span) IsZero() bool { return s.ID == 0 }

// NextCounter increments the logical counter and returns the new value.
func (s Span) NextCounter() uint64 { return s.counter.Add(1) }

// Counter returns the value of the logical counter.
func (s Span) Counter() uint64 { return s.counter.Load() }

// AdvanceCounter sets the logical counter to counter, the value of another node, if that is greater.
func (s Span) AdvanceCounter(counter uint64) {
	for {
		current := s.counter.Load()
		if current >= counter || s.counter.CompareAndSwap(current, counter) {
			return
		}
	}
}
