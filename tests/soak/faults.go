package soak

import (
	"slices"
	"sync"
	"time"
)

// Time limits of the users' rules, by which runs are judged.
const (
	// reconnectTime is the time within which machines must reconnect after a fault. The machines
	// count as unstable until it is over.
	reconnectTime = 3 * time.Second
	// acknowledgeLimit bounds the time until a command or a departure is acknowledged.
	acknowledgeLimit = 4 * time.Second
	// recoveryHold is how long after its return a replica still counts as lost.
	recoveryHold = 4 * time.Second
	// drainLimit is how long a backend may still receive requests after its departure was
	// acknowledged.
	drainLimit = 2 * time.Second
	// stopGrace is how long a process may run after SIGTERM.
	stopGrace = 6 * time.Second
	// rolloutLimit bounds the time from the acknowledgement of a configuration until it is in
	// force.
	rolloutLimit = 2 * time.Second
	// acceptanceDelay is the time after which a request that was sent completely counts as
	// accepted.
	acceptanceDelay = 200 * time.Millisecond
	// revertSlack is how long a machine may still answer by an older configuration after a newer
	// one was seen in force there.
	revertSlack = 250 * time.Millisecond
	// addressReuseDelay is how long an address must stay unused before another backend may use it.
	addressReuseDelay = 2 * time.Second
	// recoveryLimit bounds the time until service is restored after processes were lost.
	recoveryLimit = 15 * time.Second
	// abandonedWorkLimit bounds how long work on an abandoned request may continue.
	abandonedWorkLimit = 500 * time.Millisecond
)

// Fault is a fault or a planned change that was carried out on machines, with its time span.
type Fault struct {
	Kind    Kind   `json:"kind"`
	Variant string `json:"how,omitempty"`
	// Machines lists the IP addresses of the affected machines. ControlPlane is set if replicas are
	// affected.
	Machines     []string `json:"machines"`
	ControlPlane bool     `json:"core,omitempty"`
	// Planned is set for planned changes such as stops and reloads.
	Planned bool      `json:"planned,omitempty"`
	From    time.Time `json:"from"`
	// To is the end of the fault. It is zero while the fault lasts.
	To time.Time `json:"to"`
}

// during reports whether the fault overlaps a time span.
func (f *Fault) during(from, to time.Time) bool {
	return f.From.Before(to) && (f.To.IsZero() || f.To.After(from))
}

// faultLog records the faults of a run. It is safe for concurrent use.
type faultLog struct {
	mu  sync.Mutex
	all []*Fault
}

// begin records the start of a fault. The returned function records its end.
func (f *faultLog) begin(fault Fault) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault.From = time.Now()
	f.all = append(f.all, &fault)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		fault.To = time.Now()
	}
}

// in returns the faults that overlap a time span.
func (f *faultLog) in(from, to time.Time) (out []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.all {
		if fault.during(from, to) {
			out = append(out, *fault)
		}
	}
	return out
}

// controlPlaneStable reports whether no replica had a fault in a time span or in the reconnectTime
// before it.
func (f *faultLog) controlPlaneStable(from, to time.Time) bool {
	return !slices.ContainsFunc(f.in(from.Add(-reconnectTime), to), func(fault Fault) bool { return fault.ControlPlane })
}

// machineStable reports whether neither a machine nor the control plane had a fault in a time span
// or in the reconnectTime before it.
func (f *faultLog) machineStable(machine string, from, to time.Time) bool {
	return !slices.ContainsFunc(f.in(from.Add(-reconnectTime), to), func(fault Fault) bool {
		return fault.ControlPlane || slices.Contains(fault.Machines, machine)
	})
}

// unplanned reports whether an unplanned fault occurred in a time span or in the reconnectTime
// before it.
func (f *faultLog) unplanned(from, to time.Time) bool {
	return slices.ContainsFunc(f.in(from.Add(-reconnectTime), to), func(fault Fault) bool { return !fault.Planned })
}

// stopped returns the stops of a machine's sidecar that began before the end of a time span and
// whose grace time was not over at the start of the time span.
func (f *faultLog) stopped(machine string, from, to time.Time) []Fault {
	return slices.DeleteFunc(f.in(from.Add(-stopGrace), to), func(fault Fault) bool {
		return fault.Kind != kindStop || !slices.Contains(fault.Machines, machine)
	})
}

// stopping reports whether a machine's sidecar was stopping or reloading at any time in a time
// span. A stop or reload counts for the grace time and one more second after its end.
func (f *faultLog) stopping(machine string, from, to time.Time) bool {
	return slices.ContainsFunc(f.in(from.Add(-stopGrace-time.Second), to), func(fault Fault) bool {
		return (fault.Kind == kindStop || fault.Kind == kindReload) && slices.Contains(fault.Machines, machine)
	})
}
