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

// An order on a zone that waits at a frozen core while its caller goes elsewhere, has
// it taken there and then takes it back, does not come into force as the core wakes:
// neither at the one on duty nor at another, neither for an order to empty nor for its end.
func TestOldEvacuationAtFrozenCore(t *testing.T) {
	for _, frozen := range []int{0, 2} {
		for _, old := range []string{http.MethodPut, http.MethodDelete} {
			t.Run(fmt.Sprint(frozen, old), func(t *testing.T) {
				t.Parallel()
				f, ctx := startFleet(t, controlPlaneOnly(3))
				newer := map[string]string{http.MethodPut: http.MethodDelete, http.MethodDelete: http.MethodPut}[old]
				const path = "/v1/localities/north/emptied"
				put := func(core int, method string) {
					t.Helper()
					must(t, fleet.Await(ctx, "the order to be taken", func(ctx context.Context) bool {
						r, err := f.Operate(ctx, f.Replicas[core], method, path, nil)
						if err == nil && r.Status != 200 && r.Status != 503 {
							t.Errorf("%s was refused: %d %s", method, r.Status, r.Body)
						}
						return err == nil && r.Status == 200
					}))
				}
				put(1, newer)
				f.Replicas[frozen].Signal(syscall.SIGSTOP)
				for range 4 { // copies of one order, each given up after a moment of silence
					brief, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
					if r, err := f.Operate(brief, f.Replicas[frozen], old, path, nil); err == nil {
						t.Errorf("a frozen core answers %d", r.Status)
					}
					cancel()
				}
				put(1, old)
				put(1, newer)
				f.Replicas[frozen].Signal(syscall.SIGCONT)
				for n := range 20 { // it works again, and has others of its orders carried out
					must(t, fleet.Await(ctx, "a configuration to be taken", func(ctx context.Context) bool {
						r, err := f.Operate(ctx, f.Replicas[frozen], "PUT", "/v1/desired", configuration(n), "Curlewwalk-Edition", fmt.Sprint(n+1))
						return err == nil && r.Status == 200
					}))
				}
				for _, p := range f.Replicas {
					r, err := f.Operate(ctx, p, "GET", "/v1/localities", nil)
					must(t, err)
					var got struct{ Emptied []string }
					must(t, json.Unmarshal(r.Body, &got))
					if (len(got.Emptied) == 1) != (newer == http.MethodPut) {
						t.Errorf("%s tells that %v are emptied, after a %s", p.Name, got.Emptied, newer)
					}
				}
			})
		}
	}
}
