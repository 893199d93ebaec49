package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
)

// TestOldEvacuationAtFrozenReplica checks that an outdated command does not take effect. A command to
// evacuate or restore a zone waits at a frozen replica. Meanwhile its caller has the same command
// committed elsewhere and then revokes it. When the replica resumes, the waiting command must not be
// applied. The frozen replica is the coordinator or another replica.
func TestOldEvacuationAtFrozenReplica(t *testing.T) {
	for _, frozen := range []int{0, 2} {
		for _, outdated := range []string{http.MethodPut, http.MethodDelete} {
			t.Run(fmt.Sprint(frozen, outdated), func(t *testing.T) {
				t.Parallel()
				f, ctx := startFleet(t, controlPlaneOnly(3))
				revoking := map[string]string{http.MethodPut: http.MethodDelete, http.MethodDelete: http.MethodPut}[outdated]
				const path = "/v1/localities/north/emptied"
				put := func(replica int, method string) {
					t.Helper()
					must(t, fleet.Await(ctx, "the command to be acknowledged", func(ctx context.Context) bool {
						r, err := f.Operate(ctx, f.Replicas[replica], method, path, nil)
						if err == nil && r.Status != 200 && r.Status != 503 {
							t.Errorf("%s: got %d %s, want 200 or 503", method, r.Status, r.Body)
						}
						return err == nil && r.Status == 200
					}))
				}
				put(1, revoking)
				f.Replicas[frozen].Signal(syscall.SIGSTOP)
				for range 4 { // copies of one command, each abandoned after a short time-out
					shortCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
					if r, err := f.Operate(shortCtx, f.Replicas[frozen], outdated, path, nil); err == nil {
						t.Errorf("the frozen replica answered %d, want no answer", r.Status)
					}
					cancel()
				}
				put(1, outdated)
				put(1, revoking)
				f.Replicas[frozen].Signal(syscall.SIGCONT)
				for n := range 20 { // the replica runs again and commits other commands
					must(t, fleet.Await(ctx, "a configuration to be acknowledged", func(ctx context.Context) bool {
						r, err := f.Operate(ctx, f.Replicas[frozen], "PUT", configurationPath, configuration(n), generationHeader, fmt.Sprint(n+1))
						return err == nil && r.Status == 200
					}))
				}
				for _, p := range f.Replicas {
					r, err := f.Operate(ctx, p, "GET", "/v1/localities", nil)
					must(t, err)
					var got struct {
						Evacuated []string `json:"emptied"`
					}
					must(t, json.Unmarshal(r.Body, &got))
					if (len(got.Evacuated) == 1) != (revoking == http.MethodPut) {
						t.Errorf("%s reports the evacuated zones %v after a %s", p.Name, got.Evacuated, revoking)
					}
				}
			})
		}
	}
}
