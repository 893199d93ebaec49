package config

import (
	"bytes"
	"slices"
)

// ControlState is the replicated state of the control plane at one revision. Each change creates a
// complete new state. Some fields stay on the replicas and are not sent to sidecars (see
// ForSidecars).
type ControlState struct {
	// Revision is the number of the control state. It increases with each change.
	Revision uint64 `msgpack:"s"`
	// Configuration is the JSON of the operator's Configuration. ConfigurationRevision is the
	// revision that set it.
	ConfigurationRevision uint64 `msgpack:"ds"`
	Configuration         []byte `msgpack:"d"`
	// EvacuatedByOperator lists the zones that are evacuated by order of the operator.
	EvacuatedByOperator []string `msgpack:"e"`
	// Generation is the highest generation of an accepted configuration. Zero means that no
	// configuration had a generation.
	Generation uint64 `msgpack:"n,omitempty"`
	// Submitted is the document that the operator submitted, byte for byte, if an adapter
	// translated it to Configuration and the configuration has a generation. Replicas only.
	Submitted []byte `msgpack:"st,omitempty"`
	// AcceptedGenerations lists the newest accepted generations, in ascending order. Replicas only.
	AcceptedGenerations []AcceptedGeneration `msgpack:"tk,omitempty"`
	// Evacuations lists the newest order on each zone, the newest last, for at most MaxEvacuations
	// zones. CompactedRevision is the highest revision of the orders that were dropped from the
	// list. Replicas only.
	Evacuations       []Evacuation `msgpack:"ev,omitempty"`
	CompactedRevision uint64       `msgpack:"ef,omitempty"`
	// Calendar is the calendar of maintenance windows as the operator submitted it.
	// CalendarRevision is the revision that set it. Closures lists the windows that were begun by
	// a command and not yet ended by one.
	CalendarRevision uint64        `msgpack:"cs,omitempty"`
	Calendar         []byte        `msgpack:"c,omitempty"`
	Closures         []ZoneClosure `msgpack:"cl,omitempty"`
	// Members lists the current members, sorted by ID. It is empty until the first membership
	// change. Until then, the members are the static members or, in a dynamic cluster, the initial
	// members. PreviousMembers lists the members before a membership change. It is set only in the
	// revision that makes the change; the next revision clears it. HighestMemberID is the highest
	// ID ever used, or zero before the first membership change. (DESIGN 6.5)
	Members         []Member `msgpack:"sl,omitempty"`
	PreviousMembers []Member `msgpack:"fo,omitempty"`
	HighestMemberID int      `msgpack:"to,omitempty"`
	// Departed lists the newest backend instances that have announced their departure, the newest
	// last, at most MaxDepartures. A departure is final, and it is acknowledged only once it is
	// recorded here. (DESIGN 9.1)
	Departed []string `msgpack:"dp,omitempty"`
	// RestoredZones lists the zones whose newest order revoked their evacuation, with its revision.
	// Sidecars only: ForSidecars derives it from Evacuations.
	RestoredZones []Evacuation `msgpack:"rz,omitempty"`
}

// ForSidecars returns the state as it is sent to sidecars: without the fields that stay on the
// replicas, and with RestoredZones.
func (s ControlState) ForSidecars() ControlState {
	s.RestoredZones = slices.DeleteFunc(slices.Clone(s.Evacuations), func(e Evacuation) bool {
		return slices.Contains(s.EvacuatedByOperator, e.Zone)
	})
	s.Submitted, s.AcceptedGenerations, s.Evacuations, s.CompactedRevision = nil, nil, nil, 0
	return s
}

// EvacuatedZones returns the zones that are evacuated by order of the operator or by a maintenance
// window, in ascending order.
func (s ControlState) EvacuatedZones() []string {
	out := slices.Clone(s.EvacuatedByOperator)
	for _, c := range s.Closures {
		if !c.Waived {
			out = append(out, c.Zone)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// RoutesAlike reports whether two states route all requests alike: they have the same configuration
// the same evacuated zones, and no zone was evacuated and restored between them.
func (s ControlState) RoutesAlike(other ControlState) bool {
	return s.ConfigurationRevision == other.ConfigurationRevision && bytes.Equal(s.Configuration, other.Configuration) &&
		slices.Equal(s.EvacuatedZones(), other.EvacuatedZones()) && slices.Equal(s.RestoredZones, other.RestoredZones)
}

// HasClosure reports whether the state has a closure, waived or not, of a maintenance window.
func (s ControlState) HasClosure(window string) bool {
	return slices.ContainsFunc(s.Closures, func(c ZoneClosure) bool { return c.Window == window })
}
