package trace

import "sync/atomic"

// Span is one call: client start, server receive, server send, client receive.
// Parent is zero on a root. (DESIGN 2.1)
type Span struct {
	Trace  TraceID
	ID     ID
	Parent ID
	// counter is the logical counter that orders events without clocks. (DESIGN 2.6)
	counter *atomic.Uint64
}

// Root starts a tree.
func Root() Span {
	id := NewID()
	return Span{Trace: TraceID{Lo: id}, ID: id, counter: new(atomic.Uint64)}
}

// Join rebuilds the span that another node's message or header names.
func Join(t TraceID, id, parent ID, counter uint64) Span {
	s := Span{Trace: t, ID: id, Parent: parent, counter: new(atomic.Uint64)}
	s.counter.Store(counter)
	return s
}

// Child starts a span caused by s; the two share the logical counter.
func (s Span) Child() Span {
	return Span{Trace: s.Trace, ID: NewID(), Parent: s.ID, counter: s.counter}
}

// IsZero tells whether there is no span.
func (s Span) IsZero() bool { return s.ID == 0 }

// NextCounter moves the logical counter on and returns it.
func (s Span) NextCounter() uint64 { return s.counter.Add(1) }

// Counter returns the logical counter as it stands.
func (s Span) Counter() uint64 { return s.counter.Load() }

// AdvanceCounter takes over another node's counter if it is ahead.
func (s Span) AdvanceCounter(counter uint64) {
	for {
		own := s.counter.Load()
		if own >= counter || s.counter.CompareAndSwap(own, counter) {
			return
		}
	}
}
