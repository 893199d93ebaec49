package routing

import (
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// A zone that is taken back is given its backends' places little by little,
// whatever words come meanwhile; emptied again, it begins anew.
func TestRamp(t *testing.T) {
	base := time.Now()
	at := func(s float64) time.Time { return base.Add(time.Duration(s * float64(time.Second))) }
	table, _ := NewTable(config.ControlState{})
	put := func(stamp uint64, s float64, emptied ...string) {
		next, ok := NewTable(config.ControlState{Revision: stamp, EvacuatedByOperator: emptied})
		if !ok {
			t.Fatal("no table")
		}
		next.ContinueSlowStart(table, at(s))
		table = next
	}
	expect := func(s, want float64) {
		t.Helper()
		if got := table.ZoneShare("west", at(s)); got < want-0.001 || got > want+0.001 {
			t.Errorf("after %v s: %v, want %v", s, got, want)
		}
	}
	expect(0, 1)
	put(1, 0, "west")
	put(2, 1)
	expect(1, 0.2)
	expect(6, 0.6)
	put(3, 6, "east")
	expect(6, 0.6)
	expect(11, 1)
	put(4, 20, "west")
	put(5, 21)
	expect(21, 0.2)
	put(6, 40)
	expect(40, 1)
	if table.ZoneShare("east", at(40)) != 1 {
		t.Error("east still ramps")
	}
}

// The closest match wins: host, then longer prefix, then named methods.
func TestMatch(t *testing.T) {
	table, ok := NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: []byte(`{"contracts": [{"name":"c","aim":"1s","expiry":"2s","rank":1}], "ways": [
		{"name":"all","prefix":"/","service":"s","contract":"c"},
		{"name":"deep","prefix":"/a/b","service":"s","contract":"c"},
		{"name":"post","prefix":"/a/b","methods":["POST"],"service":"s","contract":"c"},
		{"name":"host","host":"one.example","prefix":"/","service":"s","contract":"c"}]}`)})
	if !ok {
		t.Fatal("no table")
	}
	for _, c := range [][4]string{
		{"x", "/", "GET", "all"}, {"x", "/a/b/c", "GET", "deep"}, {"x", "/a/b", "POST", "post"}, {"one.example:80", "/a/b", "POST", "host"}, {"ONE.example", "/", "GET", "host"},
	} {
		if w, _, ok := table.Match(c[0], c[1], c[2]); !ok || w.Name != c[3] {
			t.Errorf("%v went to %q", c, w.Name)
		}
	}
}
