package keyreplication

import (
	"context"
	"time"

	"curlewwalk/internal/membership"
)

const (
	// repairBatch limits the number of replicas that are added concurrently.
	repairBatch = 64
	// repairTime limits the duration of one repair, so that changes of the view are processed
	// soon.
	repairTime = membership.HeartbeatInterval / 2
)

// repair replaces lost replicas in batches. It stops when no replica is missing, when no
// replica of a batch could be added, or when repairTime has passed.
func (o *Owner) repair(ctx context.Context) {
	for begin := time.Now(); time.Since(begin) < repairTime; {
		var missing []MissingReplica
		o.withTracker(func(tracker *ReplicationTracker, now time.Duration) {
			missing = tracker.MissingReplicas(o.responsivePeers(), repairBatch, now)
		})
		accepted := runConcurrently(ctx, o.deps.Actors, missing, storeTimeout, func(ctx context.Context, m MissingReplica) bool {
			reply, ok := o.store(ctx, m.Target, m.Record)
			return ok && reply.Accepted
		})
		added := 0
		for i, ok := range accepted {
			if ok {
				added++
				o.addReplica(missing[i].Record, missing[i].Target)
			}
		}
		if added == 0 {
			return
		}
	}
}
