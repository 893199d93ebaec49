package keyreplication

import (
	"testing"
	"time"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
)

// TestMissingReplicas checks that the tracker reports the replicas on peers that have left or
// restarted as missing, and selects the next peers in rank order. If a lost replica were not
// replaced, the record would be lost with its remaining replicas. No replica may be reported
// as missing for a fully replicated or expired record.
func TestMissingReplicas(t *testing.T) {
	nodes := []membership.Node{{Addr: "a", Incarnation: 1}, {Addr: "b", Incarnation: 1}, {Addr: "c", Incarnation: 1}}
	tracker := NewReplicationTracker("o", "north")
	record := Record{Owner: "o", Incarnation: 7, Sequence: 1, Key: idempotency.Key{Text: "k"}, TTL: time.Minute}
	ranked := RankReplicas("o", "north", record.Key, nodes)
	tracker.AddReplica(record, ranked[0], 0)
	if got := tracker.MissingReplicas(nodes, 9, 0); len(got) != 1 || got[0].Target.Addr != ranked[1].Addr {
		t.Errorf("one replica: got missing replicas %+v, want one on the second peer in rank order", got)
	}
	tracker.AddReplica(record, ranked[1], 0)
	if got := tracker.MissingReplicas(nodes, 9, 0); len(got) > 0 {
		t.Errorf("two replicas: got missing replicas %+v, want none", got)
	}
	record.Response = []byte("r")
	tracker.Complete(record, 10*time.Second)
	restarted := []membership.Node{ranked[0], ranked[1], ranked[2]}
	restarted[0].Incarnation = 2
	if got := tracker.MissingReplicas(restarted, 9, 20*time.Second); len(got) != 1 || got[0].Target.Addr != ranked[0].Addr || string(got[0].Response) != "r" || got[0].TTL != 50*time.Second {
		t.Errorf("after a peer restarted: got missing replicas %+v, want one on that peer with the response and a TTL of 50 s", got)
	}
	if got := tracker.MissingReplicas(restarted[1:], 9, 20*time.Second); len(got) != 1 || got[0].Target.Addr != ranked[2].Addr {
		t.Errorf("after a peer left: got missing replicas %+v, want one on the third peer in rank order", got)
	}
	if got := tracker.MissingReplicas(restarted, 9, 71*time.Second); len(got) > 0 || tracker.responseBytes != 0 {
		t.Errorf("expired record: got missing replicas %+v and %d bytes of responses, want none", got, tracker.responseBytes)
	}
}
