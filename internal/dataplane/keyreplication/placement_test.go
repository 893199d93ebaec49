package keyreplication

import (
	"fmt"
	"testing"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
)

// TestRankReplicas checks that the two replicas are in different zones and outside the
// owner's zone if the zones allow it. It also checks that the removal of a node moves only
// the records that the node stored.
func TestRankReplicas(t *testing.T) {
	var nodes []membership.Node
	for i := range 12 {
		nodes = append(nodes, membership.Node{Addr: fmt.Sprint("node-", i), Zone: fmt.Sprint("zone-", i%4)})
	}
	withoutNode5 := append(append([]membership.Node{}, nodes[:5]...), nodes[6:]...)
	moved := 0
	for i := range 200 {
		key := idempotency.Key{Text: fmt.Sprint("key-", i)}
		before := RankReplicas("node-0", "zone-0", key, nodes)
		if len(before) != 11 || before[0].Zone == "zone-0" || before[1].Zone == "zone-0" || before[0].Zone == before[1].Zone {
			t.Fatalf("%s: the replicas are %v, want 11 candidates, the first two in different zones other than zone-0", key.Text, before[:2])
		}
		after := RankReplicas("node-0", "zone-0", key, withoutNode5)
		if before[0].Addr == "node-5" || before[1].Addr == "node-5" {
			moved++
			continue
		}
		if after[0].Addr != before[0].Addr || after[1].Addr != before[1].Addr {
			t.Errorf("%s moved although node-5 did not store it", key.Text)
		}
	}
	if moved == 0 {
		t.Error("node-5 stored no record, want at least one")
	}
}
