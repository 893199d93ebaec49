package soak

import (
	"context"
	"math/rand/v2"
)

// lastDown is how long what the last trouble ends is away, in seconds.
const lastDown = 1.0

// last brings the last trouble about, right after one more configuration was acknowledged.
func (r *Run) last(ctx context.Context) {
	if r.Plan.Last == "" {
		return
	}
	rng := rand.New(rand.NewPCG(r.Plan.Seed, 7))
	r.order(ctx, r.operator.next(r), rng.IntN(len(r.Fleet.Cores)), 0, false)
	r.say("at the end: %s", r.Plan.Last)
	all := r.Fleet.Programs()
	defer r.troubles.begin(Trouble{Kind: r.Plan.Last, Machines: ips(all), Core: true})()
	if r.Plan.Last == lastKill {
		r.Fleet.Kill(all...)
	} else {
		r.Fleet.PowerOff(all...)
	}
	if r.Plan.Last == lastWipe {
		r.wipe(r.Fleet.Cores[rng.IntN(len(r.Fleet.Cores))])
	}
	wait(ctx, seconds(lastDown))
	r.revive(ctx, all...)
}
