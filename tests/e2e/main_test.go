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

// binaries are the compiled programs, built once for all tests.
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

// Paths and headers of the system's interface that many tests use.
const (
	configurationPath = "/v1/desired"
	generationHeader  = "Curlewwalk-Edition"
	outcomeHeader     = "Curlewwalk-Outcome"
)

// testTimeout bounds each test's waiting. It is not a performance limit.
const testTimeout = 40 * time.Second

// newFleet prepares a fleet without starting it. When the test ends, newFleet closes the fleet and
// fails the test if a process reported a data race or a broken invariant.
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
			if stderr := p.Stderr(); strings.Contains(stderr, "DATA RACE") || strings.Contains(stderr, "broken invariant") {
				t.Errorf("%s wrote: %s", p.Name, stderr)
			}
		}
	})
	return f, ctx
}

// startFleet prepares a fleet and starts it.
func startFleet(t *testing.T, size fleet.Size) (*fleet.Fleet, context.Context) {
	t.Helper()
	f, ctx := newFleet(t, size)
	must(t, f.Start(ctx))
	return f, ctx
}

// restartReplicas kills the running replicas, starts all replicas, and waits until they are ready.
func restartReplicas(ctx context.Context, t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, p := range f.Replicas {
		if p.Running() {
			p.Kill()
		}
	}
	for _, p := range f.Replicas {
		must(t, p.Start())
	}
	for _, p := range f.Replicas {
		must(t, p.AwaitReady(ctx))
	}
}

// must ends the test if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// smallFleet returns the size for tests that need no full deployment: four machines, one in each zone.
func smallFleet() fleet.Size {
	s := fleet.Association()
	s.Name, s.Machines, s.Backends = "small", 4, []string{"orders", "stock", "surveys", "orders"}
	s.Rate = 60
	return s
}

// maxReported limits how many breaches, and how many interruptions, of one fleet are printed.
const maxReported = 10

// checkLedger fails the test for each rule that the fleet broke, and if no request succeeded.
func checkLedger(t *testing.T, f *fleet.Fleet) ledger.Verdict {
	t.Helper()
	v := f.Ledger.Judge()
	for _, breach := range v.Breaches[:min(len(v.Breaches), maxReported)] {
		t.Error("broken rule: ", breach)
	}
	if v.Succeeded == 0 {
		t.Error("no request succeeded")
	}
	for _, interruption := range v.Interruptions[:min(len(v.Interruptions), maxReported)] {
		t.Log("request without an answer: ", interruption)
	}
	t.Logf("sent %d, ran %d, succeeded %d, not-run %d, unknown %d, interrupted %d, broken rules %d", v.Sent, v.Ran, v.Succeeded, v.NotRun, v.Unknown, v.Interrupted, len(v.Breaches))
	return v
}
