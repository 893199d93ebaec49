package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"curlewwalk/tests/fleet"
)

// readInterval is the pause of the operator between two reads of the configuration.
const readInterval = 150 * time.Millisecond

// readContinuously reads the configuration from randomly chosen replicas until ctx is done, and
// judges each configuration that is returned. A replica may return an outdated configuration until
// rolloutLimit after a newer one was acknowledged.
func (r *Run) readContinuously(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		replica := r.Fleet.Replicas[rng.IntN(len(r.Fleet.Replicas))]
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, time.Second)
		reply, err := r.Fleet.Operate(call, replica, http.MethodGet, "/v1/desired", nil)
		cancel()
		if err == nil && reply.Status == http.StatusOK {
			r.judgeRead(replica.Name, reply, r.operator.newestAcknowledged(sent.Add(-rolloutLimit)))
		}
		sleep(ctx, readInterval)
	}
}

// judgeRead judges a configuration that a replica returned. It must not be older than newest, and
// its bytes must be those that were sent under its number.
func (r *Run) judgeRead(at string, reply fleet.Reply, newest configuration) {
	got, known := r.operator.byNumber(reply.Generation)
	switch {
	case reply.Generation < newest.number:
		r.breach(ruleConfig, "", "%s returned configuration %d, though %d had been acknowledged", at, reply.Generation, newest.number)
	case !known || !bytes.Equal(reply.Body, got.body):
		r.breach(ruleConfig, "", "%s returned other bytes than were sent as configuration %d", at, reply.Generation)
	}
}

// readBack reads the configuration from every replica at the end of the run, repeatedly for
// reconnectTime. Each read must succeed and return the newest acknowledged configuration or a newer
// one.
func (r *Run) readBack(ctx context.Context) {
	newest := r.operator.newestAcknowledged(time.Now())
	for began := time.Now(); time.Since(began) < reconnectTime && ctx.Err() == nil; sleep(ctx, readInterval) {
		for _, replica := range r.Fleet.Replicas {
			call, cancel := context.WithTimeout(ctx, time.Second)
			reply, err := r.Fleet.Operate(call, replica, http.MethodGet, "/v1/desired", nil)
			cancel()
			if err != nil || reply.Status != http.StatusOK {
				r.breach(ruleConfig, "", "reading the configuration back from %s failed: status %d, error %v", replica.Name, reply.Status, err)
				continue
			}
			r.judgeRead(replica.Name, reply, newest)
		}
	}
}
