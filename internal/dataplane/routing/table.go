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
	// minEarlierRun and maxEarlierRun bound the time for which requests admitted by an earlier
	// process of this node are assumed to be running. That time is the longest deadline of the
	// contracts, raised to minEarlierRun or cut to maxEarlierRun.
	minEarlierRun = 2 * time.Second
	maxEarlierRun = 10 * time.Second
)

// Table is an immutable snapshot of the configured routes, contracts and services under one
// revision of the control state.
type Table struct {
	// Revision is the revision of the control state. It is zero if no state is known yet.
	Revision uint64
	// SlowStart is the slow start of zones after their evacuation. It must not be set after
	// ContinueSlowStart has been called.
	SlowStart SlowStart
	// ColdMargin is how much longer than its warm-up period a backend of a restored zone counts as
	// possibly cold. It must not be set after ContinueSlowStart has been called.
	ColdMargin time.Duration

	routes    []config.Route
	index     index
	contracts map[string]config.Contract
	services  map[string]config.Service
	limits    config.Limits
	// drainedZones holds the evacuated zones.
	drainedZones map[string]bool
	// restoredZones maps the zones in a slow start to the time at which their evacuation ended.
	restoredZones map[string]time.Time
	// restorations maps the zones that were restored by an order to the revision of that order.
	// possiblyCold maps the zones that were restored to the time at which this process learned of it.
	restorations map[string]uint64
	possiblyCold map[string]time.Time
}

// NewTable returns the table of a control state. It returns false if the configuration is not
// valid.
func NewTable(state config.ControlState) (*Table, bool) {
	t := &Table{
		Revision: state.Revision, SlowStart: DefaultSlowStart, contracts: map[string]config.Contract{},
		drainedZones: map[string]bool{}, restorations: map[string]uint64{},
	}
	for _, restored := range state.RestoredZones {
		t.restorations[restored.Zone] = restored.Revision
	}
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

// comparePrecedence orders routes by specificity: longer hosts first, then longer prefixes, then
// routes with methods.
func comparePrecedence(a, b config.Route) int {
	return cmp.Or(
		cmp.Compare(len(b.Host), len(a.Host)),
		cmp.Compare(len(b.Prefix), len(a.Prefix)),
		cmp.Compare(min(1, len(b.Methods)), min(1, len(a.Methods))),
	)
}

// WithRevision returns the same table under a later revision of the control state.
func (t *Table) WithRevision(revision uint64) *Table {
	next := *t
	next.Revision = revision
	return &next
}

// ContinueSlowStart copies the zones in a slow start from the previous table, and starts the slow
// start of zones whose evacuation ended with this table. It must be called before the table is
// shared. The first table of a process continues an empty one.
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
	t.continuePossiblyCold(previous, now)
}

// continuePossiblyCold copies the possibly cold zones from the previous table, and adds the zones
// that were restored since. These are also zones that this process has not seen evacuated: it may
// have started, or may have been partitioned, between the two orders.
func (t *Table) continuePossiblyCold(previous *Table, now time.Time) {
	t.possiblyCold = maps.Clone(previous.possiblyCold)
	if t.possiblyCold == nil {
		t.possiblyCold = map[string]time.Time{}
	}
	for zone := range previous.drainedZones {
		if !t.drainedZones[zone] {
			t.possiblyCold[zone] = now
		}
	}
	for zone, revision := range t.restorations {
		if previous.restorations[zone] != revision {
			t.possiblyCold[zone] = now
		}
	}
}

// MayBeCold reports whether a backend of a service in a zone may be warming up although its last
// announcement does not say so. Backends may turn cold shortly before their zone is restored. After
// the warm-up period of the service they are warm again, or have announced that they are not.
func (t *Table) MayBeCold(zone, service string, now time.Time) bool {
	since, restored := t.possiblyCold[zone]
	slowStart := t.services[service].SlowStart
	return restored && slowStart != nil && now.Sub(since) < slowStart.Period.Duration+t.ColdMargin
}

// ZoneShare returns the share, from 0 to 1, of the capacity of the backends of a zone that may be
// used now. It is less than 1 during the slow start of the zone.
func (t *Table) ZoneShare(zone string, now time.Time) float64 {
	since, ok := t.restoredZones[zone]
	if !ok {
		return 1
	}
	return t.SlowStart.ShareAfter(now.Sub(since))
}

// ZoneDrained reports whether a zone is evacuated, so that no requests are sent to its backends.
func (t *Table) ZoneDrained(zone string) bool { return t.drainedZones[zone] }

// Match returns the route of a request and its contract. It returns false if no route matches. A
// port in host is ignored.
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

// Service returns the configuration of a service. It returns false if the service has none.
func (t *Table) Service(name string) (config.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// WarmupRate returns the number of requests per second that a backend of a service can handle
// during its warm-up. It returns zero if no rate is configured.
func (t *Table) WarmupRate(service string) float64 {
	if s := t.services[service]; s.SlowStart != nil {
		return s.SlowStart.RequestsPerSecond
	}
	return 0
}

// Limits returns the configured limits on client requests.
func (t *Table) Limits() config.Limits { return t.limits }

// Services returns the sorted names of all services that are the target of a route or have a
// configuration.
func (t *Table) Services() []string {
	services := slices.Collect(maps.Keys(t.services))
	for i := range t.routes {
		services = append(services, t.routes[i].Services()...)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// EarlierRequestsMayRun reports whether requests admitted by an earlier process of this node may
// still be running, given the uptime of this process.
func (t *Table) EarlierRequestsMayRun(uptime time.Duration) bool {
	longest := minEarlierRun
	for _, c := range t.contracts {
		longest = max(longest, min(maxEarlierRun, c.Deadline.Duration))
	}
	return uptime < longest
}

// BudgetReports returns the status of the latency budget of each contract, given the counts of
// their requests, sorted by contract name.
func (t *Table) BudgetReports(counts map[string]retrybudget.Counts) []retrybudget.BudgetStatus {
	reports := []retrybudget.BudgetStatus{}
	for _, name := range slices.Sorted(maps.Keys(t.contracts)) {
		c := t.contracts[name]
		reports = append(reports, retrybudget.NewBudgetStatus(name, c.Priority, c.LatencyTarget.Duration, c.Deadline.Duration, counts[name]))
	}
	return reports
}
