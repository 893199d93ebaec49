package routing

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// mustTable returns the table of a configuration, and fails the test if it is not valid.
func mustTable(t testing.TB, configuration []byte) *Table {
	t.Helper()
	table, ok := NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: configuration})
	if !ok {
		t.Fatalf("NewTable rejected the configuration %s", configuration)
	}
	return table
}

// TestZoneSlowStart checks that a zone regains its capacity gradually after its evacuation, also if
// the control state changes meanwhile. A second evacuation restarts the slow start.
func TestZoneSlowStart(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time {
		return start.Add(time.Duration(seconds * float64(time.Second)))
	}
	table, _ := NewTable(config.ControlState{})
	apply := func(revision uint64, seconds float64, evacuated ...string) {
		t.Helper()
		next, ok := NewTable(config.ControlState{Revision: revision, EvacuatedByOperator: evacuated})
		if !ok {
			t.Fatal("NewTable rejected the control state")
		}
		next.ContinueSlowStart(table, at(seconds))
		table = next
	}
	expect := func(seconds, want float64) {
		t.Helper()
		if got := table.ZoneShare("west", at(seconds)); got < want-0.001 || got > want+0.001 {
			t.Errorf("after %v s: got share %v, want %v", seconds, got, want)
		}
	}
	expect(0, 1)
	apply(1, 0, "west")
	apply(2, 1)
	expect(1, 0.2)
	expect(6, 0.6)
	apply(3, 6, "east")
	expect(6, 0.6)
	expect(11, 1)
	apply(4, 20, "west")
	apply(5, 21)
	expect(21, 0.2)
	apply(6, 40)
	expect(40, 1)
	if table.ZoneShare("east", at(40)) != 1 {
		t.Error("zone east has less than its full share after the end of its slow start")
	}
}

// TestMayBeCold guards against a restored zone that a process does not notice: whatever tables it has
// seen of an evacuation and its end, the backends of the zone may be cold for their warm-up period and
// the margin after it learns of the end, and not after that. Other zones and services are not affected.
func TestMayBeCold(t *testing.T) {
	const warmup, margin = 3 * time.Second, time.Second
	configuration := []byte(`{"services": [{"name": "desk", "cold": {"for": "3s", "rate": 9.3}}, {"name": "till"}]}`)
	never, evacuated := []config.Evacuation(nil), []string{"west"}
	restoredAt := func(revision uint64) []config.Evacuation {
		return []config.Evacuation{{Zone: "west", Revision: revision}}
	}
	type step struct {
		evacuated []string
		restored  []config.Evacuation
	}
	for name, c := range map[string]struct {
		steps []step
		// restored is the number of the step from which the zone may be cold, from 1, or zero for none.
		restored int
	}{
		"never evacuated":                       {[]step{{nil, never}, {nil, never}}, 0},
		"evacuated and restored":                {[]step{{nil, never}, {evacuated, never}, {nil, restoredAt(3)}}, 3},
		"both orders missed":                    {[]step{{nil, never}, {nil, restoredAt(3)}}, 2},
		"started after the end":                 {[]step{{nil, restoredAt(3)}}, 1},
		"evacuated again, both orders missed":   {[]step{{nil, restoredAt(3)}, {nil, restoredAt(5)}}, 2},
		"end of a maintenance window":           {[]step{{evacuated, never}, {nil, never}}, 2},
		"restored, then a change of no concern": {[]step{{evacuated, never}, {nil, restoredAt(3)}, {nil, restoredAt(3)}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Now()
			at := func(step int) time.Time { return begin.Add(time.Duration(step) * time.Second) }
			table := &Table{}
			for i, s := range c.steps {
				next, ok := NewTable(config.ControlState{Revision: uint64(i + 1), ConfigurationRevision: 1, Configuration: configuration, EvacuatedByOperator: s.evacuated, RestoredZones: s.restored})
				if !ok {
					t.Fatal("NewTable rejected the control state")
				}
				next.ColdMargin = margin
				next.ContinueSlowStart(table, at(i+1))
				table = next.WithRevision(9)
			}
			end := at(c.restored).Add(warmup + margin)
			if got := table.MayBeCold("west", "desk", end.Add(-1)); got != (c.restored > 0) {
				t.Errorf("got %v before the end of the period, want the opposite", got)
			}
			if table.MayBeCold("west", "desk", end) || table.MayBeCold("east", "desk", at(0)) || table.MayBeCold("west", "till", at(0)) {
				t.Error("may be cold after the period, in another zone, or for a service without a warm-up")
			}
		})
	}
}

// the method.
func TestMatch(t *testing.T) {
	table := mustTable(t, []byte(`{"contracts": [{"name":"c","aim":"1s","expiry":"2s","rank":1}], "ways": [
		{"name":"all","prefix":"/","service":"s","contract":"c"},
		{"name":"deep","prefix":"/a/b","service":"s","contract":"c"},
		{"name":"post","prefix":"/a/b","methods":["POST"],"service":"s","contract":"c"},
		{"name":"host","host":"one.example","prefix":"/","service":"s","contract":"c"}]}`))
	for name, c := range map[string]struct{ host, path, method, want string }{
		"any host, short prefix": {"x", "/", "GET", "all"},
		"longer prefix":          {"x", "/a/b/c", "GET", "deep"},
		"with the method":        {"x", "/a/b", "POST", "post"},
		"host with a port":       {"one.example:80", "/a/b", "POST", "host"},
		"host in capitals":       {"ONE.example", "/", "GET", "host"},
	} {
		t.Run(name, func(t *testing.T) {
			if route, _, ok := table.Match(c.host, c.path, c.method); !ok || route.Name != c.want {
				t.Errorf("%s %s%s matched %q, want %q", c.method, c.host, c.path, route.Name, c.want)
			}
		})
	}
}

// TestServicesAndLimits checks that a table has the services and limits of its configuration, and
// that a table without a configuration has none.
func TestServicesAndLimits(t *testing.T) {
	table := mustTable(t, []byte(`{"contracts": [{"name":"c","aim":"1s","expiry":"2s","rank":1}],
		"services": [{"name":"b","connections":7},{"name":"a"},{"name":"z"}], "limits": {"body_bytes": 9},
		"ways": [{"name":"w","prefix":"/","split":[{"service":"b","weight":1},{"service":"a","weight":1}],"contract":"c"}]}`))
	if service, ok := table.Service("b"); !ok || service.MaxConnections != 7 {
		t.Errorf("service b: got %+v, want 7 connections at most", service)
	}
	if got := table.Services(); len(got) != 3 || table.Limits().MaxBodyBytes != 9 {
		t.Errorf("got services %v, limits %+v, want 3 services and a body limit of 9 bytes", got, table.Limits())
	}
	empty, _ := NewTable(config.ControlState{})
	if _, ok := empty.Service("b"); ok || empty.Limits().IsDefined() || len(empty.Services()) != 0 {
		t.Error("an empty table has a service or a limit")
	}
	if _, _, ok := empty.Match("x", "/", "GET"); ok {
		t.Error("an empty table matches a request")
	}
}
