package keyreplication

import (
	"context"
	"time"

	"curlewwalk/internal/membership"
)

const (
	// repairBatch is how many replicas are added concurrently.
	repairBatch = 64
	// repairTime bounds one repair, so that the next view is looked at soon.
	repairTime = membership.HeartbeatInterval / 2
)

// repair replaces lost replicas, batch by batch, until none is missing, none of a batch
// could be added, or repairTime is over.
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
