package main

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/membership"
)

// The replica that sent the state is inserted among the others in the order of the member IDs, and
// occurs once even if the others include its member ID.
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
		{"own member ID already known", others(1, 2, 3), []int{1, 2, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []int
			for _, replica := range insertSelf(c.known, self) {
				got = append(got, replica.MemberID)
				if (replica.MemberID == self.MemberID) != (replica.Addr == self.Addr) {
					t.Errorf("member %d has address %q, want the address self for the sender only", replica.MemberID, replica.Addr)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Options must name exactly one source of the state.
func TestSnapshotNeedsOneSource(t *testing.T) {
	for name, o := range map[string]options{"none": {}, "both": {ControlPlane: "127.0.0.1:1", State: "state.json"}} {
		t.Run(name, func(t *testing.T) {
			if _, err := readSnapshot(o); err != errNoSource {
				t.Errorf("got error %v, want %v", err, errNoSource)
			}
		})
	}
}
