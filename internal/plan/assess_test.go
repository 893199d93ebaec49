package plan

import (
	"strings"
	"testing"

	"curlewwalk/internal/membership"
)

// The impact includes changes of services and limits. A service that receives only a share of a
// route also puts the contract of the route at risk. An unchanged configuration has no impact.
func TestServiceAndLimitChanges(t *testing.T) {
	head := `{"contracts":[{"name":"c","aim":"1s","expiry":"2s","rank":1}],"ways":[{"name":"w","prefix":"/","contract":"c","split":[{"service":"a","weight":9},{"service":"b","weight":1}]}],`
	before := head + `"services":[{"name":"a","connections":3,"cold":{"for":"3s","rate":9}},{"name":"b"}]}`
	after := head + `"services":[{"name":"a","connections":3,"cold":{"for":"3s","rate":8}},{"name":"b"},{"name":"d"}],"limits":{"idle":"60s"}}`
	snapshot := Snapshot{Configuration: before, Nodes: []membership.Node{{Addr: "n", Backends: []membership.Backend{{Instance: "a", Service: "a", Zone: "north", Capacity: 4}, {Instance: "b", Service: "b", Zone: "south", Capacity: 4}}}}}
	if impact, violations := Assess(snapshot, Change{Configuration: []byte(before)}); impact.HasChanges() || len(violations) > 0 {
		t.Errorf("unchanged configuration: got impact %v, violations %v; want none", impact, violations)
	}
	impact, violations := Assess(snapshot, Change{Configuration: []byte(after), Evacuate: []string{"south"}})
	for _, want := range []string{"service a: changed\n", "service d: new\n", "limits: changed\n", "AT RISK: contract c: way w: no backend of b\n"} {
		if !strings.Contains(impact.String(), want) || len(violations) > 0 {
			t.Errorf("got no %q in impact %s, violations %v", want, impact, violations)
		}
	}
	if strings.Contains(impact.String(), "service b") || strings.Contains(impact.String(), "way w: changed") {
		t.Errorf("unchanged service b or way w is listed in impact %s", impact)
	}
}

// For an invalid snapshot or change, Assess reports the violations and no impact.
func TestViolations(t *testing.T) {
	for _, c := range []struct {
		name     string
		snapshot Snapshot
		change   Change
		path     string
	}{
		{"snapshot that is not JSON", Snapshot{Configuration: "{"}, Change{}, "snapshot"},
		{"candidate that is not JSON", Snapshot{}, Change{Configuration: []byte("{")}, "desired"},
		{"removal of an unknown node", Snapshot{Nodes: []membership.Node{{Addr: "a"}}}, Change{Remove: []string{"a", "b"}}, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			impact, violations := Assess(c.snapshot, c.change)
			if len(violations) != 1 || violations[0].Path != c.path || impact.HasChanges() {
				t.Errorf("got violations %v, impact %v; want one violation at %s and no impact", violations, impact, c.path)
			}
		})
	}
}

// When a replica is removed, only the sidecars, the traces and the coordinator role assigned to it
// are reassigned. A new sidecar causes no other reassignment.
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
					t.Errorf("got reassignment %+v, want one from the removed replica to another", watcher)
				}
			}
			if coordinatorMoved := impact.Coordinator != nil; coordinatorMoved != (removed.Addr == "r1") {
				t.Errorf("got coordinator reassignment %+v, want one only if r1 is removed", impact.Coordinator)
			}
			if impact.MovedTraces < 0.25 || impact.MovedTraces > 0.42 {
				t.Errorf("got a share of %.2f moved traces on the removal of one of three replicas, want about a third", impact.MovedTraces)
			}
		})
	}
	impact, _ := Assess(snapshot, Change{Add: []string{"s9"}})
	if len(impact.Watchers) != 1 || impact.Watchers[0].From != noReplica || impact.MovedTraces > 0 {
		t.Errorf("new sidecar: got impact %+v, want a single reassignment and no moved traces", impact)
	}
}
