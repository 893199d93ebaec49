package consensus

import (
	"context"
	"time"
)

// Health returns the last published health of the replica.
func (r *Replica) Health() Health { return *r.health.Load() }

// Healthy reports whether the replica meets the requirements for a coordinator. (DESIGN 6.3)
func (r *Replica) Healthy() bool { return r.Health().Healthy(r.now()) }

// Connected reports whether a majority has answered this replica recently.
func (r *Replica) Connected() bool { return r.Health().Connected(r.now()) }

// RecentlyResumed reports whether the process has recently resumed from a suspension.
func (r *Replica) RecentlyResumed() bool { return r.Health().RecentlyResumed(r.now()) }

func (r *Replica) setHealth(h Health) { r.health.Store(&h) }

// rejectUnproposed rejects the commands that have not been proposed if another replica can
// execute them. That is the case if this replica reaches no majority, or if its disk does not
// accept writes and another replica has become the coordinator.
func (r *Replica) rejectUnproposed(ctx context.Context, now time.Duration) {
	healthy, connected := r.Health().Healthy(now), r.Health().Connected(now)
	if !connected || !healthy && !r.deps.Peers.IsCoordinator() {
		r.handleReady(ctx, r.proposer.RejectUnproposed())
	}
}

// reportHealth logs each change between healthy and unhealthy and calls OnHealthChange.
func (r *Replica) reportHealth(now time.Duration) {
	healthy := r.Health().Healthy(now)
	if healthy == r.reportedHealthy {
		return
	}
	r.reportedHealthy = healthy
	r.deps.Log.Info("health changed", "healthy", healthy, "disk_healthy", r.Health().DiskHealthy(now), "connected", r.Health().Connected(now))
	if r.deps.OnHealthChange != nil {
		r.deps.OnHealthChange()
	}
}
