package trace

import "sync/atomic"

// Span is one call: client start, server receive, server send, client receive.
// Parent is zero on a root. (DESIGN 2.1)
type Span struct {
	Trace  TraceID
	ID     ID
	Parent ID
	// clock is the logical counter that orders events without clocks. (DESIGN 2.6)
	clock *atomic.Uint64
}

// Root starts a tree.
func Root() Span {
	id := NewID()
	return Span{Trace: TraceID{Lo: id}, ID: id, clock: new(atomic.Uint64)}
}

// Join rebuilds the span that another node's message or header names.
func Join(t TraceID, id, parent ID, counter uint64) Span {
	s := Span{Trace: t, ID: id, Parent: parent, clock: new(atomic.Uint64)}
	s.clock.Store(counter)
	return s
}

// Child starts a span caused by s; the two share the logical counter.
func (s Span) Child() Span {
	return Span{Trace: s.Trace, ID: NewID(), Parent: s.ID, clock: s.clock}
}

// IsZero tells whether there is no span.
func (s Span) IsZero() bool { return s.ID == 0 }

// Step moves the logical counter on and returns it.
func (s Span) Step() uint64 { return s.clock.Add(1) }

// Counter returns the logical counter as it stands.
func (s Span) Counter() uint64 { return s.clock.Load() }

// Hear takes over another node's counter if it is ahead.
func (s Span) Hear(counter uint64) {
	for {
		own := s.clock.Load()
		if own >= counter || s.clock.CompareAndSwap(own, counter) {
			return
		}
	}
}
