package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

// evacuate evacuates a zone and restores it after the duration of the entry. It retries the restore
// until it is acknowledged, so that no zone stays evacuated.
func evacuate(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	zone := r.Fleet.Size.Zones[e.Target%len(r.Fleet.Size.Zones)]
	if !r.zoneLocks[zone].TryLock() {
		r.skip(e)
		return
	}
	defer r.zoneLocks[zone].Unlock()
	path := "/v1/localities/" + zone + "/emptied"
	if acked, ok := r.submitEvacuation(ctx, e, http.MethodPut, path); ok {
		r.Fleet.Ledger.RecordEvacuation(zone, acked)
		sleep(ctx, seconds(e.For))
		r.Fleet.Ledger.RecordRestored(zone, time.Now())
	}
	for ctx.Err() == nil {
		if _, ok := r.submitEvacuation(ctx, e, http.MethodDelete, path); ok {
			return
		}
	}
}

// submitEvacuation sends an evacuation command to one replica after the other until it is
// acknowledged or commandTimeout is over. It returns the time of the acknowledgement and whether
// there was one.
func (r *Run) submitEvacuation(ctx context.Context, e Entry, method, path string) (acked time.Time, ok bool) {
	sent := time.Now()
	for attempt := e.Target; time.Since(sent) < commandTimeout && ctx.Err() == nil; attempt++ {
		call, cancel := context.WithTimeout(ctx, acknowledgeLimit)
		reply, err := r.Fleet.Operate(call, r.Fleet.Replicas[attempt%len(r.Fleet.Replicas)], method, path, nil)
		cancel()
		if err == nil && reply.Status == http.StatusOK {
			acked = time.Now()
			r.judgeAcknowledgement(method+" "+path, sent, acked)
			return acked, true
		}
		sleep(ctx, 100*time.Millisecond)
	}
	r.judgeAcknowledgement(method+" "+path, sent, time.Time{})
	return acked, false
}
