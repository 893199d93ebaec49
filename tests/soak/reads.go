package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"curlewwalk/tests/fleet"
)

// readInterval is how often an operator reads the configuration during the run.
const readInterval = 150 * time.Millisecond

// readContinuously reads the configuration at any replica until ctx ends, and judges what it reads.
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

// judgeRead judges a configuration that was read: it must not be older than newest.
func (r *Run) judgeRead(at string, reply fleet.Reply, newest configuration) {
	got, known := r.operator.byNumber(reply.Generation)
	switch {
	case reply.Generation < newest.number:
		r.breach(ruleConfig, "", "%s reads configuration %d, %d was acknowledged before", at, reply.Generation, newest.number)
	case !known || !bytes.Equal(reply.Body, got.body):
		r.breach(ruleConfig, "", "%s reads other bytes than were sent under %d", at, reply.Generation)
	}
}

// readBack reads the configuration at the end, at every replica, again and again.
func (r *Run) readBack(ctx context.Context) {
	newest := r.operator.newestAcknowledged(time.Now())
	for began := time.Now(); time.Since(began) < contactTime && ctx.Err() == nil; sleep(ctx, readInterval) {
		for _, replica := range r.Fleet.Replicas {
			call, cancel := context.WithTimeout(ctx, time.Second)
			reply, err := r.Fleet.Operate(call, replica, http.MethodGet, "/v1/desired", nil)
			cancel()
			if err != nil || reply.Status != http.StatusOK {
				r.breach(ruleConfig, "", "%s does not read back: %d %v", replica.Name, reply.Status, err)
				continue
			}
			r.judgeRead(replica.Name, reply, newest)
		}
	}
}
