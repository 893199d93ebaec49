package plan

import (
	"strings"
	"testing"

	"curlewwalk/internal/membership"
)

// What is said of services and clients moves too; a service that only has a part
// of a way puts its contract at risk as well.
func TestServicesMove(t *testing.T) {
	head := `{"contracts":[{"name":"c","aim":"1s","expiry":"2s","rank":1}],"ways":[{"name":"w","prefix":"/","contract":"c","split":[{"service":"a","weight":9},{"service":"b","weight":1}]}],`
	was := head + `"services":[{"name":"a","connections":3,"cold":{"for":"3s","rate":9}},{"name":"b"}]}`
	is := head + `"services":[{"name":"a","connections":3,"cold":{"for":"3s","rate":8}},{"name":"b"},{"name":"d"}],"limits":{"idle":"60s"}}`
	s := Snapshot{Desired: was, Nodes: []membership.Node{{Addr: "n", Backends: []membership.Backend{{Instance: "a", Service: "a", Zone: "north", Capacity: 4}, {Instance: "b", Service: "b", Zone: "south", Capacity: 4}}}}}
	if m, faults := Make(s, Change{Desired: []byte(was)}); m.Any() || len(faults) > 0 {
		t.Errorf("the same again: %v %v", m, faults)
	}
	m, faults := Make(s, Change{Desired: []byte(is), Empty: []string{"south"}})
	for _, want := range []string{"service a: changed\n", "service d: new\n", "limits: changed\n", "AT RISK: contract c: way w: no backend of b\n"} {
		if !strings.Contains(m.String(), want) || len(faults) > 0 {
			t.Errorf("no %q in %s %v", want, m, faults)
		}
	}
	if strings.Contains(m.String(), "service b") || strings.Contains(m.String(), "way w: changed") {
		t.Errorf("%s", m)
	}
}
