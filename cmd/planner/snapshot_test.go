package main

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/membership"
)

// The replica that was asked stands among the others by its member ID, once.
func TestInsertSelf(t *testing.T) {
	self := membership.Replica{MemberID: 2, Addr: "self"}
	others := func(memberIDs ...int) (replicas []membership.Replica) {
		for _, id := range memberIDs {
			replicas = append(replicas, membership.Replica{MemberID: id, Addr: "other"})
		}
		return replicas
	}
	for _, c := range []struct {
		name  string
		known []membership.Replica
		want  []int
	}{
		{"alone", nil, []int{2}},
		{"first", others(3, 4), []int{2, 3, 4}},
		{"between", others(1, 3), []int{1, 2, 3}},
		{"last", others(0, 1), []int{0, 1, 2}},
		{"known under its own ID", others(1, 2, 3), []int{1, 2, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []int
			for _, replica := range insertSelf(c.known, self) {
				got = append(got, replica.MemberID)
				if (replica.MemberID == self.MemberID) != (replica.Addr == self.Addr) {
					t.Errorf("member %d is %s", replica.MemberID, replica.Addr)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The state is read from one source.
func TestSnapshotNeedsOneSource(t *testing.T) {
	for name, o := range map[string]options{"none": {}, "both": {ControlPlane: "127.0.0.1:1", State: "state.json"}} {
		t.Run(name, func(t *testing.T) {
			if _, err := readSnapshot(o); err != errNoSource {
				t.Errorf("%v, want %v", err, errNoSource)
			}
		})
	}
}
