package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"

	"curlewwalk/tests/fleet"
)

// awaitRuns waits until a count has come to at least n.
func awaitRuns(ctx context.Context, count func() int64, n int64) error {
	return fleet.Await(ctx, "runs", func(context.Context) bool { return count() >= n })
}

// awaitCondition waits until a page shows what is wanted.
func awaitCondition(ctx context.Context, ok func(ctx context.Context) bool) error {
	return fleet.Await(ctx, "a page to show it", ok)
}

// awaitUnready waits until a sidecar of a rig says that it is not ready.
func awaitUnready(r *rig, machine int) error {
	return awaitCondition(r.ctx, func(ctx context.Context) bool {
		status, err := r.Sidecars[machine].Get(ctx, "/ready", nil)
		return err == nil && status == http.StatusServiceUnavailable
	})
}

// awaitServed waits until every kind of request that clients send succeeds from a
// machine.
func awaitServed(ctx context.Context, f *fleet.Fleet, machine int) error {
	client := f.NewClient(machine, 1)
	client.Name = fmt.Sprintf("serves-%d-%d", machine, servedCalls.Add(1))
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

// servedCalls tells the callers of serves from each other.
var servedCalls atomic.Int64

// decode reads a JSON answer.
func decode(b []byte, into any) bool { return json.Unmarshal(b, into) == nil }
