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

const (
	// minEarlierRun and maxEarlierRun bound how long a run that an earlier process of this node
	// admitted is taken to go on: the longest deadline, but not less or more than this.
	minEarlierRun = 2 * time.Second  // (ours)
	maxEarlierRun = 10 * time.Second // (ours)
)

// Table is an immutable snapshot of the configured routes, contracts and services, under one
// revision of the control state.
type Table struct {
	// Revision is that of the control state; zero if no state is known yet.
	Revision uint64
	// SlowStart is how evacuated zones come back. It may be set until ContinueSlowStart is
	// called.
	SlowStart SlowStart

	routes       []config.Route
	index        index
	contracts    map[string]config.Contract
	services     map[string]config.Service
	limits       config.Limits
	drainedZones map[string]bool
	// restoredZones tells since when zones that were evacuated take traffic again.
	restoredZones map[string]time.Time
}

// NewTable builds the table of a control state; false if its configuration is not valid.
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
	for _, service := range configuration.Services {
		t.services[service.Name] = service
	}
	for _, contract := range configuration.Contracts {
		t.contracts[contract.Name] = contract
	}
	slices.SortStableFunc(t.routes, comparePrecedence)
	t.index = newIndex(t.routes)
	return t, true
}

// comparePrecedence orders routes by how closely they match, the closest first: by host, then
// by the length of the prefix, then those with methods before those without.
func comparePrecedence(a, b config.Route) int {
	return cmp.Or(
		cmp.Compare(len(b.Host), len(a.Host)),
		cmp.Compare(len(b.Prefix), len(a.Prefix)),
		cmp.Compare(min(1, len(b.Methods)), min(1, len(a.Methods))),
	)
}

// ContinueSlowStart takes over from the previous table which zones are in a slow start, and
// begins that of the zones whose evacuation has ended with this table. It must be called before
// the table is shared.
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

// ZoneShare returns the share of their capacity that the backends of a zone are given now, from 0
// to 1: less than 1 during the zone's slow start.
func (t *Table) ZoneShare(zone string, now time.Time) float64 {
	since, ok := t.restoredZones[zone]
	if !ok {
		return 1
	}
	return t.SlowStart.ShareAfter(now.Sub(since))
}

// ZoneDrained reports whether a zone is evacuated: no request is sent to its backends.
func (t *Table) ZoneDrained(zone string) bool { return t.drainedZones[zone] }

// Match finds the route of a request and its contract; false if no route matches. host may
// have a port, which is ignored.
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

// Service returns the configuration of a service; false if it has none.
func (t *Table) Service(name string) (config.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// WarmupRate returns how many requests a second a backend of a service bears while it is warming up;
// zero if none is configured.
func (t *Table) WarmupRate(service string) float64 {
	if s := t.services[service]; s.SlowStart != nil {
		return s.SlowStart.RequestsPerSecond
	}
	return 0
}

// Limits returns the configured limits of what clients may send.
func (t *Table) Limits() config.Limits { return t.limits }

// Services lists the services that routes lead to or that have a configuration, in order of
// their names.
func (t *Table) Services() []string {
	services := slices.Collect(maps.Keys(t.services))
	for i := range t.routes {
		services = append(services, t.routes[i].Services()...)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// EarlierRunsPossible reports whether runs that an earlier process of this node admitted may still
// be going on, when this process has been up for that long.
func (t *Table) EarlierRunsPossible(up time.Duration) bool {
	longest := minEarlierRun
	for _, c := range t.contracts {
		longest = max(longest, min(maxEarlierRun, c.Deadline.Duration))
	}
	return up < longest
}

// BudgetReports shows the latency budget of each contract, given the counts of their requests,
// in order of the names.
func (t *Table) BudgetReports(counts map[string]retrybudget.Counts) []retrybudget.BudgetStatus {
	reports := []retrybudget.BudgetStatus{}
	for _, name := range slices.Sorted(maps.Keys(t.contracts)) {
		c := t.contracts[name]
		reports = append(reports, retrybudget.NewBudgetStatus(name, c.Priority, c.LatencyTarget.Duration, c.Deadline.Duration, counts[name]))
	}
	return reports
}
