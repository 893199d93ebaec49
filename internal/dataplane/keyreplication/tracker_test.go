package keyreplication

import (
	"testing"
	"time"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
)

// TestMissingReplicas checks that the replicas of peers that have gone or restarted are
// missing, and that the next peers in order are to store them; nothing is missing of a
// record that has all its replicas, or has expired.
func TestMissingReplicas(t *testing.T) {
	nodes := []membership.Node{{Addr: "a", Incarnation: 1}, {Addr: "b", Incarnation: 1}, {Addr: "c", Incarnation: 1}}
	tracker := NewReplicationTracker("o", "north")
	record := Record{Owner: "o", Incarnation: 7, Sequence: 1, Key: idempotency.Key{Text: "k"}, TTL: time.Minute}
	ranked := RankReplicas("o", "north", record.Key, nodes)
	tracker.AddReplica(record, ranked[0], 0)
	if got := tracker.MissingReplicas(nodes, 9, 0); len(got) != 1 || got[0].Target.Addr != ranked[1].Addr {
		t.Errorf("one replica: %+v", got)
	}
	tracker.AddReplica(record, ranked[1], 0)
	if got := tracker.MissingReplicas(nodes, 9, 0); len(got) > 0 {
		t.Errorf("two replicas: %+v", got)
	}
	record.Response = []byte("r")
	tracker.Complete(record, 10*time.Second)
	restarted := []membership.Node{ranked[0], ranked[1], ranked[2]}
	restarted[0].Incarnation = 2
	if got := tracker.MissingReplicas(restarted, 9, 20*time.Second); len(got) != 1 || got[0].Target.Addr != ranked[0].Addr || string(got[0].Response) != "r" || got[0].TTL != 50*time.Second {
		t.Errorf("a peer has restarted: %+v", got)
	}
	if got := tracker.MissingReplicas(restarted[1:], 9, 20*time.Second); len(got) != 1 || got[0].Target.Addr != ranked[2].Addr {
		t.Errorf("a peer has gone: %+v", got)
	}
	if got := tracker.MissingReplicas(restarted, 9, 71*time.Second); len(got) > 0 || tracker.responseBytes != 0 {
		t.Errorf("expired: %+v, %d bytes of responses", got, tracker.responseBytes)
	}
}
