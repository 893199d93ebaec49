package plan

import (
	"fmt"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/trace"
)

const (
	// traceSamples is the number of trace IDs, from 1 up, from which the share of moved traces is
	// estimated.
	traceSamples = 4096
	// noReplica is the name that stands for a missing replica.
	noReplica = "none"
)

// compareCoordinator returns the reassignment of the coordinator, or nil if the coordinator does
// not change. It assumes that all replicas are live and eligible, so the first replica is the
// coordinator.
func compareCoordinator(before, after fleet) *Reassignment {
	from, to := before.coordinator(), after.coordinator()
	if from == to {
		return nil
	}
	return &Reassignment{Subject: "duty", From: from, To: to}
}

// coordinator returns the address of the first replica.
func (f fleet) coordinator() string {
	if len(f.replicas) == 0 {
		return noReplica
	}
	return f.replicas[0].Addr
}

// compareWatchers returns the sidecars that watch another replica after the change.
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

// watchedReplica returns the address of the replica that a sidecar watches. It assumes that all
// replicas are live and in one zone: unlike the sidecar, it does not prefer replicas in the zone of
// the sidecar.
func (f fleet) watchedReplica(sidecar string) string {
	return f.highestRanked(sidecar, func(r membership.Replica) string { return r.Addr })
}

// compareTraces returns the share of traces, from 0 to 1, that another replica collects after the
// change.
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

// collector returns the address of the replica to which a trace is published. Like watchedReplica,
// it does not consider zones, whereas a sidecar prefers replicas in its own zone.
func (f fleet) collector(traceID string) string {
	return f.highestRanked(traceID, func(r membership.Replica) string { return fmt.Sprint(r.MemberID) })
}

// highestRanked returns the address of the replica that ranks first for a key by rendezvous
// hashing.
func (f fleet) highestRanked(key string, name func(membership.Replica) string) string {
	if len(f.replicas) == 0 {
		return noReplica
	}
	return rendezvous.Rank(key, f.replicas, name)[0].Addr
}
