package keyreplication

import (
	"slices"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
)

// Holders is how many nodes hold each claim.
const Holders = 2 // (ours)

// Others lists the nodes in view but one.
func Others(v *membership.View, own string) []membership.Node {
	return slices.DeleteFunc(v.Nodes(), func(n membership.Node) bool { return n.Addr == own })
}

// Choose ranks the nodes that may hold a claim: by rendezvous hashing, one of
// each other zone before a second of any.
func Choose(own, zone string, key idempotency.Key, nodes []membership.Node) (out []membership.Node) {
	ranked := rendezvous.Rank(own+" "+key.Caller+" "+key.Text, nodes, func(n membership.Node) string { return n.Addr })
	seen := map[string]bool{zone: true}
	var rest []membership.Node
	for _, n := range ranked {
		switch {
		case n.Addr == own:
		case seen[n.Zone]:
			rest = append(rest, n)
		default:
			seen[n.Zone] = true
			out = append(out, n)
		}
	}
	return append(out, rest...)
}
