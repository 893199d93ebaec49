package soak

import (
	"slices"
	"sync"
	"time"
)

// Bounds of the users' rules, which the checks use.
const (
	contact   = 3 * time.Second        // a machine is in touch so long after trouble
	ackWithin = 4 * time.Second        // an order is to be acknowledged
	settle    = 4 * time.Second        // a machine counts as lost so long after its return
	drain     = 2 * time.Second        // a leaving backend may still be sent requests
	grace     = 6 * time.Second        // a process may take to end after SIGTERM
	apply     = 2 * time.Second        // a configuration is to be in force
	lossSlack = 200 * time.Millisecond // a whole request counts as taken
	revert    = 250 * time.Millisecond // a version that was seen binds
	reuse     = 2 * time.Second        // an address may be given to another backend
	recovery  = 15 * time.Second       // service is to be back after a loss
	goneAfter = 500 * time.Millisecond // work for a client that has left is to end
)

// Trouble is a span in which something was done to machines.
type Trouble struct {
	Kind Kind   `json:"kind"`
	How  string `json:"how,omitempty"`
	// Machines are those it was done to, by IP number; Core tells that some are of the core.
	Machines []string  `json:"machines"`
	Core     bool      `json:"core,omitempty"`
	Planned  bool      `json:"planned,omitempty"`
	From     time.Time `json:"from"`
	// To is when all was as before; zero while it lasts.
	To time.Time `json:"to"`
}

// during tells whether the trouble lasted at some moment of a span.
func (t *Trouble) during(from, to time.Time) bool {
	return t.From.Before(to) && (t.To.IsZero() || t.To.After(from))
}

// troubles are those of a run.
type troubles struct {
	mu  sync.Mutex
	all []*Trouble
}

// begin notes that a trouble begins; end that it is over.
func (l *troubles) begin(t Trouble) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.From = time.Now()
	l.all = append(l.all, &t)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		t.To = time.Now()
	}
}

// in lists the troubles of a span.
func (l *troubles) in(from, to time.Time) (out []Trouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.all {
		if t.during(from, to) {
			out = append(out, *t)
		}
	}
	return out
}

// settled tells whether the core was settled all through a span.
func (l *troubles) settled(from, to time.Time) bool {
	return !slices.ContainsFunc(l.in(from.Add(-contact), to), func(t Trouble) bool { return t.Core })
}

// inTouch tells whether a machine was in touch all through a span.
func (l *troubles) inTouch(machine string, from, to time.Time) bool {
	return !slices.ContainsFunc(l.in(from.Add(-contact), to), func(t Trouble) bool {
		return t.Core || slices.Contains(t.Machines, machine)
	})
}

// unplanned tells whether anything unplanned happened from contact before a span to its end.
func (l *troubles) unplanned(from, to time.Time) bool {
	return slices.ContainsFunc(l.in(from.Add(-contact), to), func(t Trouble) bool { return !t.Planned })
}

// stopped lists the stops of a machine's process that had begun by the end of a span, and
// whose grace time was not over at its beginning.
func (l *troubles) stopped(machine string, from, to time.Time) []Trouble {
	return slices.DeleteFunc(l.in(from.Add(-grace), to), func(t Trouble) bool {
		return t.Kind != kindStop || !slices.Contains(t.Machines, machine)
	})
}

// stopping tells whether a machine's process had been told to stop, and the time that this
// may take was not over, at some moment of a span.
func (l *troubles) stopping(machine string, from, to time.Time) bool {
	return slices.ContainsFunc(l.in(from.Add(-grace-time.Second), to), func(t Trouble) bool {
		return (t.Kind == kindStop || t.Kind == kindReload) && slices.Contains(t.Machines, machine)
	})
}
