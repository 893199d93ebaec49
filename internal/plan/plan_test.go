package plan

import (
	"strings"
	"testing"

	"curlewwalk/internal/membership"
)

// Changes of services and limits are an impact too; a service that gets only a share of a route puts
// its contract at risk as well.
func TestServicesMove(t *testing.T) {
	head := `{"contracts":[{"name":"c","aim":"1s","expiry":"2s","rank":1}],"ways":[{"name":"w","prefix":"/","contract":"c","split":[{"service":"a","weight":9},{"service":"b","weight":1}]}],`
	before := head + `"services":[{"name":"a","connections":3,"cold":{"for":"3s","rate":9}},{"name":"b"}]}`
	after := head + `"services":[{"name":"a","connections":3,"cold":{"for":"3s","rate":8}},{"name":"b"},{"name":"d"}],"limits":{"idle":"60s"}}`
	snapshot := Snapshot{Configuration: before, Nodes: []membership.Node{{Addr: "n", Backends: []membership.Backend{{Instance: "a", Service: "a", Zone: "north", Capacity: 4}, {Instance: "b", Service: "b", Zone: "south", Capacity: 4}}}}}
	if impact, violations := Assess(snapshot, Change{Configuration: []byte(before)}); impact.HasChanges() || len(violations) > 0 {
		t.Errorf("the same again: %v %v", impact, violations)
	}
	impact, violations := Assess(snapshot, Change{Configuration: []byte(after), Evacuate: []string{"south"}})
	for _, want := range []string{"service a: changed\n", "service d: new\n", "limits: changed\n", "AT RISK: contract c: way w: no backend of b\n"} {
		if !strings.Contains(impact.String(), want) || len(violations) > 0 {
			t.Errorf("no %q in %s %v", want, impact, violations)
		}
	}
	if strings.Contains(impact.String(), "service b") || strings.Contains(impact.String(), "way w: changed") {
		t.Errorf("%s", impact)
	}
}
