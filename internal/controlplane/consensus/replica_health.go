package consensus

import (
	"context"
	"time"
)

// Health is what the replica can do.
func (r *Replica) Health() Health { return *r.health.Load() }

// Healthy reports whether the replica can do what a coordinator has to. (DESIGN 6.3)
func (r *Replica) Healthy() bool { return r.Health().Healthy(r.now()) }

// Connected reports whether a majority has answered this replica lately.
func (r *Replica) Connected() bool { return r.Health().Connected(r.now()) }

// RecentlyResumed reports whether the process was suspended just now.
func (r *Replica) RecentlyResumed() bool { return r.Health().RecentlyResumed(r.now()) }

func (r *Replica) setHealth(h Health) { r.health.Store(&h) }

// rejectUnproposed gives back the commands that were not proposed yet while another replica can
// take them: this one reaches no majority, or its disk takes no writes and another replica is the
// coordinator by now.
func (r *Replica) rejectUnproposed(ctx context.Context, now time.Duration) {
	healthy, connected := r.Health().Healthy(now), r.Health().Connected(now)
	if !connected || !healthy && !r.deps.Peers.IsCoordinator() {
		r.handleReady(ctx, r.proposer.RejectUnproposed())
	}
}

// reportHealth logs and reports when the replica has become healthy or unhealthy.
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
