package soak

import (
	"slices"
	"sync"
	"time"
)

// Limits of the users' rules, by which runs are judged.
const (
	contactTime        = 3 * time.Second        // after a fault, until a machine is in touch again
	acknowledgeLimit   = 4 * time.Second        // for the acknowledgement of a command
	recoveryHold       = 4 * time.Second        // a replica counts as lost so long after its return
	drainLimit         = 2 * time.Second        // a leaving backend may still get requests
	stopGrace          = 6 * time.Second        // for a process to end after SIGTERM
	rolloutLimit       = 2 * time.Second        // for a configuration to be in force
	lossSlack          = 200 * time.Millisecond // a complete request counts as accepted
	revertSlack        = 250 * time.Millisecond // a configuration that was seen in force binds
	addressReuseDelay  = 2 * time.Second        // until an address may be used by another backend
	recoveryLimit      = 15 * time.Second       // for service to return after a loss
	abandonedWorkLimit = 500 * time.Millisecond // for work on an abandoned request to end
)

// Fault is something that was done to machines, with the time that it lasted.
type Fault struct {
	Kind    Kind   `json:"kind"`
	Variant string `json:"how,omitempty"`
	// Machines are the IP addresses it was done to; ControlPlane is set if replicas are among
	// them.
	Machines     []string `json:"machines"`
	ControlPlane bool     `json:"core,omitempty"`
	// Planned is set for planned work, as stops and reloads.
	Planned bool      `json:"planned,omitempty"`
	From    time.Time `json:"from"`
	// To is when all was as before; zero while the fault lasts.
	To time.Time `json:"to"`
}

// during reports whether the fault lasted at some moment of a time span.
func (f *Fault) during(from, to time.Time) bool {
	return f.From.Before(to) && (f.To.IsZero() || f.To.After(from))
}

// faultLog records the faults of a run.
type faultLog struct {
	mu  sync.Mutex
	all []*Fault
}

// begin records that a fault begins; end that it is over.
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

// in lists the faults of a time span.
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

// controlPlaneStable reports whether no replica had a fault in a time span, nor for contactTime
// before.
func (f *faultLog) controlPlaneStable(from, to time.Time) bool {
	return !slices.ContainsFunc(f.in(from.Add(-contactTime), to), func(t Fault) bool { return t.ControlPlane })
}

// inTouch reports whether neither a machine nor the control plane had a fault in a time span, nor
// for contactTime before.
func (f *faultLog) inTouch(machine string, from, to time.Time) bool {
	return !slices.ContainsFunc(f.in(from.Add(-contactTime), to), func(t Fault) bool {
		return t.ControlPlane || slices.Contains(t.Machines, machine)
	})
}

// unplanned reports whether anything but planned work happened in a time span, or for contactTime
// before.
func (f *faultLog) unplanned(from, to time.Time) bool {
	return slices.ContainsFunc(f.in(from.Add(-contactTime), to), func(t Fault) bool { return !t.Planned })
}

// stopped lists the stops of a machine's sidecar that had begun by the end of a time span, and
// whose grace time was not over at its beginning.
func (f *faultLog) stopped(machine string, from, to time.Time) []Fault {
	return slices.DeleteFunc(f.in(from.Add(-stopGrace), to), func(t Fault) bool {
		return t.Kind != kindStop || !slices.Contains(t.Machines, machine)
	})
}

// stopping reports whether a machine's sidecar was stopping, or reloading, at some moment of a
// time span.
func (f *faultLog) stopping(machine string, from, to time.Time) bool {
	return slices.ContainsFunc(f.in(from.Add(-stopGrace-time.Second), to), func(t Fault) bool {
		return (t.Kind == kindStop || t.Kind == kindReload) && slices.Contains(t.Machines, machine)
	})
}
