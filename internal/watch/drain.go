package watch

import (
	"slices"
	"time"
)

// Drain is the report on a zone that is being emptied, or is.
type Drain struct {
	Zone    string `json:"locality"`
	Emptied bool   `json:"emptied"`
	Stamp   uint64 `json:"stamp"`
	// Open is what still runs or waits there.
	Open int64 `json:"open"`
	// Behind lists the nodes that do not have the stamp in force yet.
	Behind []string `json:"behind"`
	// Done is set once nothing is open and nobody is behind; For is since when.
	Done bool   `json:"done"`
	For  string `json:"done_for,omitempty"`
}

// Drain reports on a zone.
func (f *Feed) Drain(zone string, now time.Duration) Drain {
	d := Drain{Zone: zone}
	if f.word != nil {
		d.Stamp, d.Emptied = f.word.Stamp, slices.Contains(f.word.Shut(), zone)
	}
	for _, n := range f.nodes {
		d.Open += n.Open[zone]
	}
	d.Behind = f.Behind(d.Stamp)
	if d.Done = d.Emptied && d.Open == 0 && len(d.Behind) == 0; d.Done {
		since, ok := f.emptySince[zone]
		if !ok {
			since = now // it has come about since the last tick
		}
		d.For = (now - since).String()
	}
	return d
}

// Behind lists the nodes that do not have a stamp in force yet.
func (f *Feed) Behind(stamp uint64) []string {
	out := []string{}
	for _, n := range f.Nodes() {
		if n.Stamp < stamp {
			out = append(out, n.Addr)
		}
	}
	return out
}

// drained keeps since when each emptied zone is done.
func (f *Feed) drained(now time.Duration) {
	if f.word == nil {
		return
	}
	since := map[string]time.Duration{}
	for _, l := range f.word.Shut() {
		if !f.Drain(l, now).Done {
			continue
		}
		since[l] = now
		if old, ok := f.emptySince[l]; ok {
			since[l] = old
		}
	}
	f.emptySince = since
}
