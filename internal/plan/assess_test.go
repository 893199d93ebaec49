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

// A snapshot or a change that is not valid has its violations reported, and no impact.
func TestViolations(t *testing.T) {
	for _, c := range []struct {
		name     string
		snapshot Snapshot
		change   Change
		path     string
	}{
		{"snapshot that is no JSON", Snapshot{Configuration: "{"}, Change{}, "snapshot"},
		{"candidate that is no JSON", Snapshot{}, Change{Configuration: []byte("{")}, "desired"},
		{"removed node that is unknown", Snapshot{Nodes: []membership.Node{{Addr: "a"}}}, Change{Remove: []string{"a", "b"}}, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			impact, violations := Assess(c.snapshot, c.change)
			if len(violations) != 1 || violations[0].Path != c.path || impact.HasChanges() {
				t.Errorf("violations %v, impact %v; want one at %s", violations, impact, c.path)
			}
		})
	}
}

// Sidecars, traces and the coordinator are reassigned from a replica that is removed, and from no
// other one.
func TestReassignments(t *testing.T) {
	snapshot := Snapshot{
		Replicas: []membership.Replica{{MemberID: 1, Addr: "r1"}, {MemberID: 2, Addr: "r2"}, {MemberID: 3, Addr: "r3"}},
	}
	for _, addr := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
		snapshot.Nodes = append(snapshot.Nodes, membership.Node{Addr: addr})
	}
	for _, removed := range snapshot.Replicas {
		t.Run(removed.Addr, func(t *testing.T) {
			impact, violations := Assess(snapshot, Change{Remove: []string{removed.Addr}})
			if len(violations) > 0 {
				t.Fatal(violations)
			}
			for _, watcher := range impact.Watchers {
				if watcher.From != removed.Addr || watcher.To == removed.Addr {
					t.Errorf("%+v", watcher)
				}
			}
			if coordinatorMoved := impact.Coordinator != nil; coordinatorMoved != (removed.Addr == "r1") {
				t.Errorf("the coordinator: %+v", impact.Coordinator)
			}
			if impact.MovedTraces < 0.25 || impact.MovedTraces > 0.42 {
				t.Errorf("%.2f of the traces move from one of three replicas", impact.MovedTraces)
			}
		})
	}
	impact, _ := Assess(snapshot, Change{Add: []string{"s9"}})
	if len(impact.Watchers) != 1 || impact.Watchers[0].From != noReplica || impact.MovedTraces > 0 {
		t.Errorf("a new sidecar: %+v", impact)
	}
}
