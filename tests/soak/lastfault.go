package soak

import (
	"context"
	"math/rand/v2"
)

// lastOutage is how long what the last fault ends is away, in seconds.
const lastOutage = 1.0

// playLast plays the last fault, right after one more configuration was acknowledged.
func (r *Run) playLast(ctx context.Context) {
	if r.Plan.Last == "" {
		return
	}
	rng := rand.New(rand.NewPCG(r.Plan.Seed, 7))
	r.submitConfiguration(ctx, r.operator.next(r), rng.IntN(len(r.Fleet.Replicas)), 0, false)
	r.logf("at the end: %s", r.Plan.Last)
	all := r.Fleet.Programs()
	defer r.faults.begin(Fault{Kind: r.Plan.Last, Machines: ips(all), ControlPlane: true})()
	if r.Plan.Last == lastKill {
		r.Fleet.Kill(all...)
	} else {
		r.Fleet.PowerOff(all...)
	}
	if r.Plan.Last == lastDiskLoss {
		r.eraseDisk(r.Fleet.Replicas[rng.IntN(len(r.Fleet.Replicas))])
	}
	sleep(ctx, seconds(lastOutage))
	r.revive(ctx, all...)
}
