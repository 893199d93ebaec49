package soak

import (
	"context"
	"math/rand/v2"
)

// lastOutageSeconds is how long all processes stay down after the last fault.
const lastOutageSeconds = 1.0

// playLast submits one more configuration and then plays the last fault. The fault strikes right
// after the acknowledgement: a configuration that was acknowledged before it was stored durably
// would be missing afterwards.
func (r *Run) playLast(ctx context.Context) {
	if r.Plan.Last == "" {
		return
	}
	rng := rand.New(rand.NewPCG(r.Plan.Seed, 7))
	r.submitConfiguration(ctx, r.operator.next(r), rng.IntN(len(r.Fleet.Replicas)), 0, false)
	r.logf("last fault: %s", r.Plan.Last)
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
	sleep(ctx, seconds(lastOutageSeconds))
	r.revive(ctx, all...)
}
