package keyreplication

import (
	"slices"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
)

// ReplicationFactor is how many nodes hold each claim.
const ReplicationFactor = 2 // (ours)

// Peers lists the nodes in view but one.
func Peers(v *membership.View, ownAddr string) []membership.Node {
	return slices.DeleteFunc(v.Nodes(), func(n membership.Node) bool { return n.Addr == ownAddr })
}

// RankReplicas ranks the nodes that may hold a claim: by rendezvous hashing, one of
// each other zone before a second of any.
func RankReplicas(ownAddr, zone string, key idempotency.Key, nodes []membership.Node) (out []membership.Node) {
	ranked := rendezvous.Rank(ownAddr+" "+key.Caller+" "+key.Text, nodes, func(n membership.Node) string { return n.Addr })
	usedZones := map[string]bool{zone: true}
	var rest []membership.Node
	for _, n := range ranked {
		switch {
		case n.Addr == ownAddr:
		case usedZones[n.Zone]:
			rest = append(rest, n)
		default:
			usedZones[n.Zone] = true
			out = append(out, n)
		}
	}
	return append(out, rest...)
}
