package config

import "slices"

// Word is the operator's word as the cores keep it: the bytes as they were
// sent, the zones asked to be emptied, and the calendar of maintenance
// windows with those that go on.
type Word struct {
	Stamp uint64 `msgpack:"s"`
	// DesiredStamp is the stamp under which Desired was put.
	DesiredStamp uint64   `msgpack:"ds"`
	Desired      []byte   `msgpack:"d"`
	Emptied      []string `msgpack:"e"`
	// Generation is the highest of the operator's own numbers; zero: none was given.
	Generation uint64 `msgpack:"n,omitempty"`
	// Sent is what the operator sent, byte for byte, if Desired is another form of
	// it. Only cores keep it.
	Sent []byte `msgpack:"st,omitempty"`
	// Taken is the record of the newest taken numbers, sorted. Only cores keep it.
	Taken []Taken `msgpack:"tk,omitempty"`
	// Evacuations are the newest orders on zones, the newest last; Forgotten is the
	// highest stamp of those that are not on record any more. Only cores keep them.
	Evacuations []Evacuation `msgpack:"ev,omitempty"`
	Forgotten   uint64       `msgpack:"ef,omitempty"`
	// CalendarStamp is the stamp under which Calendar was put.
	CalendarStamp uint64    `msgpack:"cs,omitempty"`
	Calendar      []byte    `msgpack:"c,omitempty"`
	Closures      []Closure `msgpack:"cl,omitempty"`
	// Slots is the set of slots in force, sorted; empty is the founding set.
	// Formerly is the set before, while a change of the set is the newest change.
	// Top is the highest slot that any set ever had. (DESIGN 6.5)
	Slots    []Member `msgpack:"sl,omitempty"`
	Formerly []Member `msgpack:"fo,omitempty"`
	Top      int      `msgpack:"to,omitempty"`
}

// Bare is the word as sidecars get it.
func (w Word) Bare() Word {
	w.Sent, w.Taken, w.Evacuations, w.Forgotten = nil, nil, nil, 0
	return w
}

// Shut lists the zones that are to be empty now, whoever asked for it.
func (w Word) Shut() []string {
	out := slices.Clone(w.Emptied)
	for _, c := range w.Closures {
		if !c.Waived {
			out = append(out, c.Zone)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Noted tells whether a window is noted.
func (w Word) Noted(window string) bool {
	return slices.ContainsFunc(w.Closures, func(c Closure) bool { return c.Window == window })
}
