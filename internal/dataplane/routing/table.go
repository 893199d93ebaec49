// Package routing decides where a request goes: a decision object that is asked.
// (DESIGN 4)
package routing

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/retrybudget"
)

// Table is the immutable snapshot of ways and contracts under one stamp.
type Table struct {
	Revision     uint64
	routes       []config.Route
	index        index
	contracts    map[string]config.Contract
	services     map[string]config.Service
	limits       config.Limits
	drainedZones map[string]bool
	// SlowStart is how zones are taken back. It is set before After is called.
	SlowStart SlowStart
	// restoredZones is since when zones that were emptied are taken back.
	restoredZones map[string]time.Time
}

// ContinueSlowStart notes which zones the table takes back, given the one before it.
func (t *Table) ContinueSlowStart(previous *Table, now time.Time) {
	t.restoredZones = map[string]time.Time{}
	for zone, since := range previous.restoredZones {
		if !t.drainedZones[zone] && now.Sub(since) < t.SlowStart.Duration {
			t.restoredZones[zone] = since
		}
	}
	for zone := range previous.drainedZones {
		if !t.drainedZones[zone] {
			t.restoredZones[zone] = now
		}
	}
}

// ZoneShare is the share of what a zone's backends bear that they are given now.
func (t *Table) ZoneShare(zone string, now time.Time) float64 {
	since, ok := t.restoredZones[zone]
	if !ok {
		return 1
	}
	return t.SlowStart.ShareAfter(now.Sub(since))
}

// NewTable builds the table of a word; false if its bytes do not check.
func NewTable(state config.ControlState) (*Table, bool) {
	t := &Table{Revision: state.Revision, SlowStart: DefaultSlowStart, contracts: map[string]config.Contract{}, drainedZones: map[string]bool{}}
	for _, zone := range state.EvacuatedZones() {
		t.drainedZones[zone] = true
	}
	if state.ConfigurationRevision == 0 {
		return t, true
	}
	configuration, faults, ok := config.Parse(state.Configuration)
	if !ok || len(faults) > 0 {
		return nil, false
	}
	t.routes, t.limits, t.services = configuration.Routes, configuration.Limits, map[string]config.Service{}
	for _, s := range configuration.Services {
		t.services[s.Name] = s
	}
	for _, c := range configuration.Contracts {
		t.contracts[c.Name] = c
	}
	// The closest match stands first: host, then longer prefix, then method.
	slices.SortStableFunc(t.routes, func(a, b config.Route) int {
		return cmp.Or(cmp.Compare(len(b.Host), len(a.Host)), cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(min(1, len(b.Methods)), min(1, len(a.Methods))))
	})
	t.index = newIndex(t.routes)
	return t, true
}

// Match finds the way of a request and its contract.
func (t *Table) Match(host, path, method string) (config.Route, config.Contract, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	route := t.index.match(host, path, method)
	if route == nil {
		return config.Route{}, config.Contract{}, false
	}
	return *route, t.contracts[route.Contract], true
}

// Service is what the operator said of a service; false if nothing.
func (t *Table) Service(name string) (config.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// WarmupRate is how many requests a second a cold backend of a service bears; 0 if the
// operator said nothing of it.
func (t *Table) WarmupRate(service string) float64 {
	if s := t.services[service]; s.SlowStart != nil {
		return s.SlowStart.RequestsPerSecond
	}
	return 0
}

// Limits bound what clients may send.
func (t *Table) Limits() config.Limits { return t.limits }

// Services lists the services that ways lead to, and those that something was
// said of.
func (t *Table) Services() []string {
	out := slices.Collect(maps.Keys(t.services))
	for i := range t.routes {
		out = append(out, t.routes[i].Services()...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

const (
	// A run that an earlier sidecar let in is taken to be over after the longest
	// deadline, but neither sooner nor later than this.
	minEarlierRun = 2 * time.Second  // (ours)
	maxEarlierRun = 10 * time.Second // (ours)
)

// EarlierRunsPossible tells whether runs that an earlier sidecar let in may still be going on,
// so long after the start of this one.
func (t *Table) EarlierRunsPossible(up time.Duration) bool {
	longest := minEarlierRun
	for _, c := range t.contracts {
		longest = max(longest, min(maxEarlierRun, c.Deadline.Duration))
	}
	return up < longest
}

// BudgetReports shows the budget of each contract, given the tallies.
func (t *Table) BudgetReports(counts map[string]retrybudget.Counts) []retrybudget.BudgetStatus {
	out := []retrybudget.BudgetStatus{}
	for _, name := range slices.Sorted(maps.Keys(t.contracts)) {
		c := t.contracts[name]
		out = append(out, retrybudget.NewBudgetStatus(name, c.Priority, c.LatencyTarget.Duration, c.Deadline.Duration, counts[name]))
	}
	return out
}

// ZoneDrained tells whether the operator asked for a zone to be emptied.
func (t *Table) ZoneDrained(zone string) bool { return t.drainedZones[zone] }
