package soak

import (
	"context"
	"math/rand/v2"
	"slices"
)

// resetConnections resets all connections to the transport addresses of the sidecars of an entry.
func resetConnections(_ context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.sidecars(e)
	defer r.faults.begin(Fault{Kind: e.Kind, Machines: ips(programs)})()
	for _, p := range programs {
		r.Fleet.ResetConnections(p)
	}
}

// The variants of a partition.
const (
	variantAll          = "all"     // separates the machines from all other machines
	variantControlPlane = "cores"   // separates the machines from the control plane
	variantOneWay       = "one-way" // blocks traffic from the machines to the control plane, not back
)

// partitionVariants lists all variants of a partition.
var partitionVariants = []string{variantAll, variantControlPlane, variantOneWay}

// partitionSidecars partitions the machines of sidecars from other machines.
func partitionSidecars(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	side := ips(r.sidecars(e))
	r.partition(ctx, e, side, false)
}

// partitionReplica partitions the machine of a replica from other machines. It skips the entry if
// too many replicas would have a fault at the same time. The replica counts as lost until
// recoveryHold after the end of the partition.
func partitionReplica(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	select {
	case r.controlPlaneFaults <- true:
	default:
		r.skip(e)
		return
	}
	r.partition(ctx, e, ips(r.replicaOf(e)), true)
	sleep(ctx, recoveryHold)
	<-r.controlPlaneFaults
}

// partition partitions the machines of side from others, as the variant says, for the duration of
// the entry.
func (r *Run) partition(ctx context.Context, e Entry, side []string, controlPlane bool) {
	replicas := r.Fleet.ReplicaIPs()
	in := slices.Contains[[]string]
	blocks := func(from, to string) bool { return in(side, from) != in(side, to) }
	switch e.Variant {
	case variantControlPlane:
		blocks = func(from, to string) bool {
			return in(side, from) && in(replicas, to) && !in(side, to) || in(replicas, from) && in(side, to) && !in(side, from)
		}
	case variantOneWay:
		blocks = func(from, to string) bool { return in(side, from) && in(replicas, to) && !in(side, to) }
	}
	defer r.faults.begin(Fault{Kind: e.Kind, Variant: e.Variant, Machines: side, ControlPlane: controlPlane})()
	defer r.Fleet.Network.AddPartition(blocks)()
	sleep(ctx, seconds(e.For))
}

// splitControlPlane partitions half of the replicas (rounded down) from the rest, for the duration
// of the entry. Sidecars still reach all replicas.
func splitControlPlane(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	replicas := r.Fleet.ReplicaIPs()
	minority := replicas[:len(replicas)/2]
	in := slices.Contains[[]string]
	defer r.faults.begin(Fault{Kind: e.Kind, Machines: replicas, ControlPlane: true})()
	defer r.Fleet.Network.AddPartition(func(from, to string) bool {
		return in(replicas, from) && in(replicas, to) && in(minority, from) != in(minority, to)
	})()
	sleep(ctx, seconds(e.For))
}
