package proof

import (
	"context"
	"net/http"

	"curlewwalk/proof/fleet"
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
