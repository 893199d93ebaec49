package soak

import (
	"context"
	"math/rand/v2"
	"slices"
)

// resetConnections resets all connections to the transport addresses of some sidecars.
func resetConnections(_ context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.sidecars(e)
	defer r.faults.begin(Fault{Kind: e.Kind, Machines: ips(programs)})()
	for _, p := range programs {
		r.Fleet.ResetConnections(p)
	}
}

// The variants of a partition.
const (
	variantAll          = "all"     // from all machines
	variantControlPlane = "cores"   // from the control plane
	variantOneWay       = "one-way" // nothing passes from there to the control plane
)

// partitionVariants are all of them.
var partitionVariants = []string{variantAll, variantControlPlane, variantOneWay}

// partitionSidecars partitions the machines of sidecars.
func partitionSidecars(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	side := ips(r.sidecars(e))
	r.partition(ctx, e, side, false)
}

// partitionReplica partitions the machine of a replica.
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

// partition partitions machines for a while.
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

// splitControlPlane partitions half of the replicas from the other half; sidecars reach both.
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
