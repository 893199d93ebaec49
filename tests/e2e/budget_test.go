package e2e

import (
	"context"
	"net/http"
	"testing"

	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

// budgets holds the fields of GET /v1/budgets that the test reads.
type budgets struct {
	Complete bool `json:"whole"`
	Budgets  []struct {
		Contract, Left string
		Requests       int64 `json:"inquiries"`
		Kept           bool
	}
}

// TestBudgetsAreSummed checks that each replica and each sidecar reports the same error budget for a
// contract, summed over all nodes. A late or refused request on any node must reduce the budget that
// all nodes report.
func TestBudgetsAreSummed(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.backend(1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	expectBudget := func(requests int64, kept bool) {
		t.Helper()
		for _, p := range r.Programs() {
			must(t, fleet.Await(r.ctx, p.Name+" to report the budget", func(ctx context.Context) bool {
				var b budgets
				_, err := p.Get(ctx, "/v1/budgets", &b)
				if err != nil || !b.Complete {
					return false
				}
				for _, c := range b.Budgets {
					if c.Contract == "once" {
						return c.Requests == requests && c.Kept == kept
					}
				}
				return false
			}))
		}
	}
	for range 10 {
		for i := range r.Sidecars {
			if a := r.NewClient(i, 1).SendOne(r.ctx, oncePlan); a.Status != 200 && a.Mismatch == "" {
				t.Errorf("got %+v, want status 200", a)
			}
		}
	}
	expectBudget(20, true)
	must(t, r.Backends[0].Leave(r.ctx))
	for range 5 {
		r.expect(r.send("POST", "/once/", "x"), 503, ledger.OutcomeNotRun)
	}
	expectBudget(25, false)
}
