// Package way decides where an inquiry goes: a decision object that is asked.
// (DESIGN 4)
package way

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"

	"curlewwalk/contract"
	"curlewwalk/desired"
)

// Table is the immutable snapshot of ways and contracts under one stamp.
type Table struct {
	Stamp     uint64
	ways      []desired.Way
	contracts map[string]desired.Contract
	emptied   map[string]bool
}

// NewTable builds the table of a word; false if its bytes do not check.
func NewTable(w desired.Word) (*Table, bool) {
	t := &Table{Stamp: w.Stamp, contracts: map[string]desired.Contract{}, emptied: map[string]bool{}}
	for _, l := range w.Emptied {
		t.emptied[l] = true
	}
	if w.DesiredStamp == 0 {
		return t, true
	}
	st, faults, ok := desired.Parse(w.Desired)
	if !ok || len(faults) > 0 {
		return nil, false
	}
	t.ways = st.Ways
	for _, c := range st.Contracts {
		t.contracts[c.Name] = c
	}
	// The closest match stands first: host, then longer prefix, then method.
	slices.SortStableFunc(t.ways, func(a, b desired.Way) int {
		return cmp.Or(cmp.Compare(len(b.Host), len(a.Host)), cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(min(1, len(b.Methods)), min(1, len(a.Methods))))
	})
	return t, true
}

// Match finds the way of an inquiry and its contract.
func (t *Table) Match(host, path, method string) (desired.Way, desired.Contract, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, w := range t.ways {
		if (w.Host == "" || strings.EqualFold(w.Host, host)) && strings.HasPrefix(path, w.Prefix) &&
			(len(w.Methods) == 0 || slices.Contains(w.Methods, method)) {
			return w, t.contracts[w.Contract], true
		}
	}
	return desired.Way{}, desired.Contract{}, false
}

// Pages shows the budget of each contract, given the tallies.
func (t *Table) Pages(sums map[string]contract.Tally) []contract.Page {
	out := []contract.Page{}
	for _, name := range slices.Sorted(maps.Keys(t.contracts)) {
		c := t.contracts[name]
		out = append(out, contract.NewPage(name, c.Rank, c.Aim.Duration, c.Expiry.Duration, sums[name]))
	}
	return out
}

// Emptied tells whether the operator asked for a locality to be emptied.
func (t *Table) Emptied(locality string) bool { return t.emptied[locality] }
