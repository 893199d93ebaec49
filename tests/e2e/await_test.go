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

// awaitPage waits until a page shows what is wanted.
func awaitPage(ctx context.Context, ok func(ctx context.Context) bool) error {
	return fleet.Await(ctx, "a page to show it", ok)
}

// awaitUnready waits until a sidecar of a rig says that it is not ready.
func awaitUnready(r *rig, machine int) error {
	return awaitPage(r.ctx, func(ctx context.Context) bool {
		status, err := r.Sidecars[machine].Get(ctx, "/ready", nil)
		return err == nil && status == http.StatusServiceUnavailable
	})
}

// serves waits until every kind of request that clients send succeeds from a
// machine.
func serves(ctx context.Context, f *fleet.Fleet, machine int) error {
	c := f.NewCaller(machine, 1)
	c.Name = fmt.Sprintf("serves-%d-%d", machine, served.Add(1))
	for _, p := range f.Size.Plans {
		err := fleet.Await(ctx, p.Name+" from machine "+fmt.Sprint(machine), func(ctx context.Context) bool {
			return p.Share == 0 || c.Once(ctx, p).Status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// served tells the callers of serves from each other.
var served atomic.Int64

// decode reads a JSON answer.
func decode(b []byte, into any) bool { return json.Unmarshal(b, into) == nil }
