// Package e2e tests whole programs over loopback sockets. (DESIGN 14)
package e2e

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

var binaries fleet.Binaries

func TestMain(m *testing.M) {
	var err error
	if binaries, err = fleet.Build(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	binaries.Remove()
	os.Exit(code)
}

// testTimeout is how long a test may wait for what it waits for. It is no measure.
const testTimeout = 40 * time.Second

// newFleet lays a fleet out; it is not started yet.
func newFleet(t *testing.T, size fleet.Size) (*fleet.Fleet, context.Context) {
	t.Helper()
	f, err := fleet.New(size, binaries)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() {
		cancel()
		f.Close()
		for _, p := range append(f.Sidecars, f.Replicas...) {
			if said := p.Stderr(); strings.Contains(said, "DATA RACE") || strings.Contains(said, "broken invariant") {
				t.Errorf("%s said: %s", p.Name, said)
			}
		}
	})
	return f, ctx
}

// startFleet starts a fleet of a size.
func startFleet(t *testing.T, size fleet.Size) (*fleet.Fleet, context.Context) {
	t.Helper()
	f, ctx := newFleet(t, size)
	must(t, f.Start(ctx))
	return f, ctx
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// smallFleet is a fleet for tests that need no full size.
func smallFleet() fleet.Size {
	s := fleet.Association()
	s.Name, s.Machines, s.Backends = "small", 4, []string{"orders", "stock", "surveys", "orders"}
	s.Rate = 60
	return s
}

// checkLedger fails the test on anything that must never happen.
func checkLedger(t *testing.T, f *fleet.Fleet) ledger.Verdict {
	t.Helper()
	v := f.Ledger.Judge()
	for i, b := range v.Breaches {
		if i < 10 {
			t.Error("must never happen: ", b)
		}
	}
	if v.Good == 0 {
		t.Error("nothing was answered")
	}
	for _, interruption := range v.Interruptions[:min(len(v.Interruptions), 10)] {
		t.Log("got no answer: ", interruption)
	}
	t.Logf("sent %d, ran %d, good %d, not-run %d, unknown %d, cut %d, broken %d", v.Sent, v.Ran, v.Good, v.NotRun, v.Unknown, v.Interrupted, len(v.Breaches))
	return v
}
