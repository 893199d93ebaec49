package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
)

// awaitRuns waits until count returns at least n.
func awaitRuns(ctx context.Context, count func() int64, n int64) error {
	return fleet.Await(ctx, "the number of runs to increase", func(context.Context) bool { return count() >= n })
}

// awaitCondition waits until ok returns true.
func awaitCondition(ctx context.Context, ok func(ctx context.Context) bool) error {
	return fleet.Await(ctx, "the test's condition", ok)
}

// awaitElapsed waits until more than d has passed since the given time.
func awaitElapsed(ctx context.Context, t *testing.T, since time.Time, d time.Duration) {
	t.Helper()
	must(t, fleet.Await(ctx, fmt.Sprintf("%v to pass", d), func(context.Context) bool { return time.Since(since) > d }))
}

// awaitUnready waits until the sidecar of a machine reports that it is not ready.
func awaitUnready(r *rig, machine int) error {
	return awaitCondition(r.ctx, func(ctx context.Context) bool {
		status, err := r.Sidecars[machine].Get(ctx, "/ready", nil)
		return err == nil && status == http.StatusServiceUnavailable
	})
}

// awaitServed waits until a request of each plan that clients send succeeds from a machine.
func awaitServed(ctx context.Context, f *fleet.Fleet, machine int) error {
	client := f.NewClient(machine, 1)
	client.Name = fmt.Sprintf("served-%d-%d", machine, servedCalls.Add(1))
	for _, p := range f.Size.Plans {
		err := fleet.Await(ctx, p.Name+" from machine "+fmt.Sprint(machine), func(ctx context.Context) bool {
			return p.Share == 0 || client.SendOne(ctx, p).Status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// servedCalls numbers the clients of awaitServed, so that each has a unique name.
var servedCalls atomic.Int64

// decode parses a JSON document and reports whether that succeeded.
func decode(b []byte, into any) bool { return json.Unmarshal(b, into) == nil }
