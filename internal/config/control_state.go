package config

import "slices"

// ControlState is the operator's word as the cores keep it: the bytes as they were
// sent, the zones asked to be emptied, and the calendar of maintenance
// windows with those that go on.
type ControlState struct {
	Revision uint64 `msgpack:"s"`
	// ConfigurationRevision is the stamp under which Desired was put.
	ConfigurationRevision uint64   `msgpack:"ds"`
	Configuration         []byte   `msgpack:"d"`
	EvacuatedByOperator   []string `msgpack:"e"`
	// Generation is the highest of the operator's own numbers; zero: none was given.
	Generation uint64 `msgpack:"n,omitempty"`
	// Submitted is what the operator sent, byte for byte, if Desired is another form of
	// it. Only cores keep it.
	Submitted []byte `msgpack:"st,omitempty"`
	// AcceptedGenerations is the record of the newest taken numbers, sorted. Only cores keep it.
	AcceptedGenerations []AcceptedGeneration `msgpack:"tk,omitempty"`
	// Evacuations are the newest orders on zones, the newest last; Forgotten is the
	// highest stamp of those that are not on record any more. Only cores keep them.
	Evacuations       []Evacuation `msgpack:"ev,omitempty"`
	CompactedRevision uint64       `msgpack:"ef,omitempty"`
	// CalendarRevision is the stamp under which Calendar was put.
	CalendarRevision uint64        `msgpack:"cs,omitempty"`
	Calendar         []byte        `msgpack:"c,omitempty"`
	Closures         []ZoneClosure `msgpack:"cl,omitempty"`
	// Members is the set of slots in force, sorted; empty is the founding set.
	// Formerly is the set before, while a change of the set is the newest change.
	// Top is the highest slot that any set ever had. (DESIGN 6.5)
	Members         []Member `msgpack:"sl,omitempty"`
	PreviousMembers []Member `msgpack:"fo,omitempty"`
	HighestMemberID int      `msgpack:"to,omitempty"`
}

// ForSidecars is the word as sidecars get it.
func (state ControlState) ForSidecars() ControlState {
	state.Submitted, state.AcceptedGenerations, state.Evacuations, state.CompactedRevision = nil, nil, nil, 0
	return state
}

// EvacuatedZones lists the zones that are to be empty now, whoever asked for it.
func (state ControlState) EvacuatedZones() []string {
	out := slices.Clone(state.EvacuatedByOperator)
	for _, c := range state.Closures {
		if !c.Waived {
			out = append(out, c.Zone)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// HasClosure tells whether a window is noted.
func (state ControlState) HasClosure(window string) bool {
	return slices.ContainsFunc(state.Closures, func(c ZoneClosure) bool { return c.Window == window })
}
