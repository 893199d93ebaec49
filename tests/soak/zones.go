package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"curlewwalk/tests/fleet"
)

// loseZone cuts the power of a zone, including its backends, and restores it. New backends replace
// the old ones.
func loseZone(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	zone := r.Fleet.Size.Zones[e.Target%len(r.Fleet.Size.Zones)]
	var sidecars, replicas []*fleet.Program
	for i, p := range r.Fleet.Sidecars {
		if r.Fleet.Zone(i) == zone {
			sidecars = append(sidecars, p)
		}
	}
	for i, p := range r.Fleet.Replicas {
		if r.Fleet.Zone(i) == zone {
			replicas = append(replicas, p)
		}
	}
	if len(replicas) > 0 {
		unlock, ok := r.lockControlPlane(replicas...)
		if !ok {
			r.skip(e)
			return
		}
		defer unlock()
	}
	r.injectFault(e, false, sidecars, func() { r.powerOffZone(ctx, e, zone, slices.Concat(sidecars, replicas)) })
}

// powerOffZone powers off programs, which are the processes of a zone, and kills the zone's
// backends. After the duration of the entry it restarts the processes and starts new backends. A
// backend that another entry is replacing is left alone.
func (r *Run) powerOffZone(ctx context.Context, e Entry, zone string, programs []*fleet.Program) {
	defer r.faults.begin(Fault{Kind: e.Kind, Machines: ips(programs), ControlPlane: true})()
	var affected []*machine
	for _, m := range r.machines {
		if r.Fleet.Zone(m.number) == zone && m.mu.TryLock() {
			defer m.mu.Unlock()
			affected = append(affected, m)
			m.backend.Load().Kill()
		}
	}
	r.Fleet.PowerOff(programs...)
	sleep(ctx, seconds(e.For))
	r.revive(ctx, programs...)
	for _, m := range affected {
		r.startBackendRetrying(ctx, m, "", m.backend.Load().Service)
	}
}

// maxClockJump bounds how far a wall clock jumps forward or backward.
const maxClockJump = 100 * time.Hour

// jumpClocks makes the wall clocks of a third of all processes jump, and resets them after the
// duration of the entry.
func jumpClocks(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	all := r.Fleet.Programs()
	chosen := rng.Perm(len(all))[:len(all)/3]
	for _, i := range chosen {
		if err := r.Fleet.JumpClock(all[i], time.Duration(rng.Int64N(int64(2*maxClockJump)))-maxClockJump); err != nil {
			r.breach(ruleStart, "", "%v", err)
		}
	}
	sleep(ctx, seconds(e.For))
	for _, i := range chosen {
		if err := r.Fleet.JumpClock(all[i], 0); err != nil {
			r.breach(ruleStart, "", "%v", err)
		}
	}
}

// invalidConfigurations are configurations that the control plane must never acknowledge.
var invalidConfigurations = []string{
	`{"ways":[{"name":"x"}]}`, `{"ways":`, `[]`,
	`{"ways":[{"name":"x","prefix":"/x/","service":"s","contract":"none"}],"contracts":[]}`,
}

// sendInvalid puts invalid configurations and records a breach if one is acknowledged. Whether one
// came into force is judged by the configurations that operators read and by the marker routes that
// sidecars serve.
func sendInvalid(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	for range max(1, e.Count) {
		body := invalidConfigurations[rng.IntN(len(invalidConfigurations))]
		replica := r.Fleet.Replicas[rng.IntN(len(r.Fleet.Replicas))]
		call, cancel := context.WithTimeout(ctx, acknowledgeLimit)
		number := strconv.FormatUint(r.operator.newestSent(time.Now())+1000, 10)
		reply, err := r.Fleet.Operate(call, replica, http.MethodPut, "/v1/desired", []byte(body), headerGeneration, number)
		cancel()
		if err == nil && reply.Status < http.StatusBadRequest {
			r.breach(ruleConfig, "", "%s answered %d to an invalid configuration, want 400 or above: %s", replica.Name, reply.Status, body)
		}
		sleep(ctx, 200*time.Millisecond)
	}
}
