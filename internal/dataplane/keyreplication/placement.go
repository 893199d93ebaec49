package keyreplication

import (
	"slices"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
)

// ReplicationFactor is the number of peers that store each record.
const ReplicationFactor = 2

// Peers returns the nodes of a view, except the one at ownAddr.
func Peers(v *membership.View, ownAddr string) []membership.Node {
	return slices.DeleteFunc(v.Nodes(), func(n membership.Node) bool { return n.Addr == ownAddr })
}

// RankReplicas returns the nodes other than the owner, ordered by their preference for
// storing the record of a key. The order is that of rendezvous hashing, with one exception:
// the first node of each zone other than the owner's zone precedes all remaining nodes.
func RankReplicas(ownAddr, zone string, key idempotency.Key, nodes []membership.Node) []membership.Node {
	ranked := rendezvous.Rank(ownAddr+" "+key.Caller+" "+key.Text, nodes, func(n membership.Node) string { return n.Addr })
	usedZones := map[string]bool{zone: true}
	var firstOfZone, others []membership.Node
	for _, n := range ranked {
		switch {
		case n.Addr == ownAddr:
		case usedZones[n.Zone]:
			others = append(others, n)
		default:
			usedZones[n.Zone] = true
			firstOfZone = append(firstOfZone, n)
		}
	}
	return append(firstOfZone, others...)
}
