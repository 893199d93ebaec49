package config

import "slices"

// ControlState is the replicated state of the control plane at one revision. Each change makes a
// complete new one. Some fields are kept by the replicas only: sidecars get the rest (see
// ForSidecars).
type ControlState struct {
	// Revision numbers the control states; it rises with each change.
	Revision uint64 `msgpack:"s"`
	// Configuration is the JSON of the operator's Configuration, ConfigurationRevision the
	// revision that brought it.
	ConfigurationRevision uint64 `msgpack:"ds"`
	Configuration         []byte `msgpack:"d"`
	// EvacuatedByOperator are the zones that the operator has ordered to be evacuated.
	EvacuatedByOperator []string `msgpack:"e"`
	// Generation is the highest generation that the operator has numbered a configuration with;
	// zero if none was numbered.
	Generation uint64 `msgpack:"n,omitempty"`
	// Submitted is what the operator submitted, byte for byte, if Configuration is another form
	// of it. Replicas only.
	Submitted []byte `msgpack:"st,omitempty"`
	// AcceptedGenerations are the newest generations that were accepted, in ascending order.
	// Replicas only.
	AcceptedGenerations []AcceptedGeneration `msgpack:"tk,omitempty"`
	// Evacuations are the newest orders on zones, the newest last; CompactedRevision is the
	// highest revision of those that were dropped from the list. Replicas only.
	Evacuations       []Evacuation `msgpack:"ev,omitempty"`
	CompactedRevision uint64       `msgpack:"ef,omitempty"`
	// Calendar is the calendar of maintenance windows as the operator submitted it,
	// CalendarRevision the revision that brought it, and Closures are of the windows that are
	// open.
	CalendarRevision uint64        `msgpack:"cs,omitempty"`
	Calendar         []byte        `msgpack:"c,omitempty"`
	Closures         []ZoneClosure `msgpack:"cl,omitempty"`
	// Members are the members in force, by ID; empty stands for those that the control plane was
	// founded with. PreviousMembers are those before, as long as the change of members is the
	// newest change. HighestMemberID is the highest ID that was ever used. (DESIGN 6.5)
	Members         []Member `msgpack:"sl,omitempty"`
	PreviousMembers []Member `msgpack:"fo,omitempty"`
	HighestMemberID int      `msgpack:"to,omitempty"`
}

// ForSidecars returns the state without what only the replicas keep.
func (s ControlState) ForSidecars() ControlState {
	s.Submitted, s.AcceptedGenerations, s.Evacuations, s.CompactedRevision = nil, nil, nil, 0
	return s
}

// EvacuatedZones lists the zones that are to be evacuated now, by the operator's order or for a
// maintenance window, in ascending order.
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

// HasClosure reports whether there is a closure, waived or not, of a maintenance window.
func (s ControlState) HasClosure(window string) bool {
	return slices.ContainsFunc(s.Closures, func(c ZoneClosure) bool { return c.Window == window })
}
