package plan

import (
	"fmt"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/trace"
)

const (
	// traceSamples is how many trace IDs the share of moved traces is estimated from.
	traceSamples = 4096
	// noReplica stands for a replica where there is none.
	noReplica = "none"
)

// compareCoordinator tells whether another replica becomes the coordinator: nil if not. The first
// replica is taken for it, as if all were live and eligible.
func compareCoordinator(before, after fleet) *Reassignment {
	from, to := before.coordinator(), after.coordinator()
	if from == to {
		return nil
	}
	return &Reassignment{Subject: "duty", From: from, To: to}
}

func (f fleet) coordinator() string {
	if len(f.replicas) == 0 {
		return noReplica
	}
	return f.replicas[0].Addr
}

// compareWatchers lists the sidecars that watch another replica after the change.
func compareWatchers(before, after fleet) (moved []Reassignment) {
	for _, node := range after.nodes {
		from := noReplica
		if before.hasNode(node.Addr) {
			from = before.watchedReplica(node.Addr)
		}
		if to := after.watchedReplica(node.Addr); from != to {
			moved = append(moved, Reassignment{Subject: node.Addr, From: from, To: to})
		}
	}
	return moved
}

// watchedReplica is the replica that a sidecar watches.
func (f fleet) watchedReplica(sidecar string) string {
	return f.highestRanked(sidecar, func(r membership.Replica) string { return r.Addr })
}

// compareTraces is the share of traces that are collected by another replica, from 0 to 1.
func compareTraces(before, after fleet) float64 {
	moved := 0
	for i := range traceSamples {
		id := trace.TraceID{Lo: trace.ID(i + 1)}.String()
		if before.collector(id) != after.collector(id) {
			moved++
		}
	}
	return float64(moved) / traceSamples
}

// collector is the replica that a trace is published to.
func (f fleet) collector(traceID string) string {
	return f.highestRanked(traceID, func(r membership.Replica) string { return fmt.Sprint(r.MemberID) })
}

// highestRanked is the address of the replica that ranks first for a key by rendezvous hashing.
func (f fleet) highestRanked(key string, name func(membership.Replica) string) string {
	if len(f.replicas) == 0 {
		return noReplica
	}
	return rendezvous.Rank(key, f.replicas, name)[0].Addr
}
