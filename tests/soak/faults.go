package soak

import (
	"slices"
	"sync"
	"time"
)

// Bounds of the users' rules, which the checks use.
const (
	contactTime        = 3 * time.Second        // a machine is in touch so long after trouble
	acknowledgeLimit   = 4 * time.Second        // an order is to be acknowledged
	recoveryHold       = 4 * time.Second        // a machine counts as lost so long after its return
	drainLimit         = 2 * time.Second        // a leaving backend may still be sent requests
	stopGrace          = 6 * time.Second        // a process may take to end after SIGTERM
	rolloutLimit       = 2 * time.Second        // a configuration is to be in force
	lossSlack          = 200 * time.Millisecond // a whole request counts as taken
	revertSlack        = 250 * time.Millisecond // a version that was seen binds
	addressReuseDelay  = 2 * time.Second        // an address may be given to another backend
	recoveryLimit      = 15 * time.Second       // service is to be back after a loss
	abandonedWorkLimit = 500 * time.Millisecond // work for a client that has left is to end
)

// Fault is a span in which something was done to machines.
type Fault struct {
	Kind    Kind   `json:"kind"`
	Variant string `json:"how,omitempty"`
	// Machines are those it was done to, by IP number; Core tells that some are of the core.
	Machines []string  `json:"machines"`
	Core     bool      `json:"core,omitempty"`
	Planned  bool      `json:"planned,omitempty"`
	From     time.Time `json:"from"`
	// To is when all was as before; zero while it lasts.
	To time.Time `json:"to"`
}

// during reports whether the trouble lasted at some moment of a span.
func (t *Fault) during(from, to time.Time) bool {
	return t.From.Before(to) && (t.To.IsZero() || t.To.After(from))
}

// faultLog are those of a run.
type faultLog struct {
	mu  sync.Mutex
	all []*Fault
}

// begin notes that a trouble begins; end that it is over.
func (f *faultLog) begin(t Fault) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.From = time.Now()
	f.all = append(f.all, &t)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		t.To = time.Now()
	}
}

// in lists the troubles of a span.
func (f *faultLog) in(from, to time.Time) (out []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.all {
		if t.during(from, to) {
			out = append(out, *t)
		}
	}
	return out
}

// controlPlaneStable reports whether the core was settled all through a span.
func (f *faultLog) controlPlaneStable(from, to time.Time) bool {
	return !slices.ContainsFunc(f.in(from.Add(-contactTime), to), func(t Fault) bool { return t.Core })
}

// inTouch reports whether a machine was in touch all through a span.
func (f *faultLog) inTouch(machine string, from, to time.Time) bool {
	return !slices.ContainsFunc(f.in(from.Add(-contactTime), to), func(t Fault) bool {
		return t.Core || slices.Contains(t.Machines, machine)
	})
}

// unplanned reports whether anything unplanned happened from contact before a span to its end.
func (f *faultLog) unplanned(from, to time.Time) bool {
	return slices.ContainsFunc(f.in(from.Add(-contactTime), to), func(t Fault) bool { return !t.Planned })
}

// stopped lists the stops of a machine's process that had begun by the end of a span, and
// whose grace time was not over at its beginning.
func (f *faultLog) stopped(machine string, from, to time.Time) []Fault {
	return slices.DeleteFunc(f.in(from.Add(-stopGrace), to), func(t Fault) bool {
		return t.Kind != kindStop || !slices.Contains(t.Machines, machine)
	})
}

// stopping reports whether a machine's process had been told to stop, and the time that this
// may take was not over, at some moment of a span.
func (f *faultLog) stopping(machine string, from, to time.Time) bool {
	return slices.ContainsFunc(f.in(from.Add(-stopGrace-time.Second), to), func(t Fault) bool {
		return (t.Kind == kindStop || t.Kind == kindReload) && slices.Contains(t.Machines, machine)
	})
}
