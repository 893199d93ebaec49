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

var bin fleet.Binaries

func TestMain(m *testing.M) {
	var err error
	if bin, err = fleet.Build(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	bin.Remove()
	os.Exit(code)
}

// limit is how long a test may wait for what it waits for. It is no measure.
const limit = 40 * time.Second

// begin lays a fleet out; it is not started yet.
func begin(t *testing.T, size fleet.Size) (*fleet.Fleet, context.Context) {
	t.Helper()
	f, err := fleet.New(size, bin)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(func() {
		cancel()
		f.Close()
		for _, p := range append(f.Sidecars, f.Cores...) {
			if said := p.Said(); strings.Contains(said, "DATA RACE") || strings.Contains(said, "broken invariant") {
				t.Errorf("%s said: %s", p.Name, said)
			}
		}
	})
	return f, ctx
}

// start starts a fleet of a size.
func start(t *testing.T, size fleet.Size) (*fleet.Fleet, context.Context) {
	t.Helper()
	f, ctx := begin(t, size)
	must(t, f.Start(ctx))
	return f, ctx
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// small is a fleet for tests that need no full size.
func small() fleet.Size {
	s := fleet.Association()
	s.Name, s.Machines, s.Backends = "small", 4, []string{"orders", "stock", "surveys", "orders"}
	s.Rate = 60
	return s
}

// judge fails the test on anything that must never happen.
func judge(t *testing.T, f *fleet.Fleet) ledger.Verdict {
	t.Helper()
	v := f.Ledger.Judge()
	for i, b := range v.Broken {
		if i < 10 {
			t.Error("must never happen: ", b)
		}
	}
	if v.Good == 0 {
		t.Error("nothing was answered")
	}
	for _, cut := range v.Cuts[:min(len(v.Cuts), 10)] {
		t.Log("got no answer: ", cut)
	}
	t.Logf("sent %d, ran %d, good %d, not-run %d, unknown %d, cut %d, broken %d", v.Sent, v.Ran, v.Good, v.NotRun, v.Unknown, v.Cut, len(v.Broken))
	return v
}
