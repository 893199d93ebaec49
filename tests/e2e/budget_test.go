package e2e

import (
	"context"
	"net/http"
	"testing"

	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

// budgets is the part of GET /v1/budgets that is read.
type budgets struct {
	Whole   bool
	Budgets []struct {
		Contract, Left string
		Requests       int64 `json:"inquiries"`
		Kept           bool
	}
}

// Each replica and each sidecar shows one budget for a contract, summed over all nodes: what is late
// or refused anywhere is taken from it everywhere.
func TestBudgetsAreSummed(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.backend(1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	shows := func(requests int64, kept bool) {
		t.Helper()
		for _, p := range r.Programs() {
			must(t, fleet.Await(r.ctx, p.Name+" to show the budget", func(ctx context.Context) bool {
				var b budgets
				_, err := p.Get(ctx, "/v1/budgets", &b)
				if err != nil || !b.Whole {
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
				t.Errorf("%+v", a)
			}
		}
	}
	shows(20, true)
	must(t, r.Backends[0].Leave(r.ctx))
	for range 5 {
		r.expect(r.send("POST", "/once/", "x"), 503, ledger.OutcomeNotRun)
	}
	shows(25, false)
}
