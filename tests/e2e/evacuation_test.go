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

// A command on a zone that waits at a frozen replica, while its caller has it committed elsewhere and
// then revokes it, does not take effect when the replica wakes: neither at the coordinator nor at
// another replica, neither for an evacuation nor for its end.
func TestOldEvacuationAtFrozenReplica(t *testing.T) {
	for _, frozen := range []int{0, 2} {
		for _, old := range []string{http.MethodPut, http.MethodDelete} {
			t.Run(fmt.Sprint(frozen, old), func(t *testing.T) {
				t.Parallel()
				f, ctx := startFleet(t, controlPlaneOnly(3))
				newer := map[string]string{http.MethodPut: http.MethodDelete, http.MethodDelete: http.MethodPut}[old]
				const path = "/v1/localities/north/emptied"
				put := func(replica int, method string) {
					t.Helper()
					must(t, fleet.Await(ctx, "the command to be acknowledged", func(ctx context.Context) bool {
						r, err := f.Operate(ctx, f.Replicas[replica], method, path, nil)
						if err == nil && r.Status != 200 && r.Status != 503 {
							t.Errorf("%s was refused: %d %s", method, r.Status, r.Body)
						}
						return err == nil && r.Status == 200
					}))
				}
				put(1, newer)
				f.Replicas[frozen].Signal(syscall.SIGSTOP)
				for range 4 { // copies of one command, each given up after a short time-out
					brief, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
					if r, err := f.Operate(brief, f.Replicas[frozen], old, path, nil); err == nil {
						t.Errorf("a frozen replica answered %d", r.Status)
					}
					cancel()
				}
				put(1, old)
				put(1, newer)
				f.Replicas[frozen].Signal(syscall.SIGCONT)
				for n := range 20 { // the replica works again, and commits other commands
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
					if (len(got.Evacuated) == 1) != (newer == http.MethodPut) {
						t.Errorf("%s reports that %v are evacuated, after a %s", p.Name, got.Evacuated, newer)
					}
				}
			})
		}
	}
}
