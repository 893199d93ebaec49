package soak

import (
	"context"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

// The flags select the runs of TestSeeds. The defaults are short runs of two seeds.
var (
	first    = flag.Uint64("first", 3, "first seed")
	seeds    = flag.Uint64("seeds", 2, "number of seeds")
	duration = flag.Duration("length", 14*time.Second, "length of the period in which faults begin")
	machines = flag.Int("machines", 5, "number of sidecars")
	onlyRule = flag.String("rule", "", "fail only for breaches of this rule")
	onlyKind = flag.String("kinds", "", "play only entries whose kind contains this text")
)

// extraTime is how long a run may take beyond the length of its plan.
const extraTime = 3 * time.Minute

// TestSeeds checks that whole fleets under overlapping faults and planned changes break no rule, as
// judged by the records of clients, backends and operators. By default the first seed has all kinds
// of faults and the second one planned changes only. The test guards against failures that only
// arise between processes, such as requests that are lost, repeated or sent to departed backends
// while sidecars restart.
func TestSeeds(t *testing.T) {
	bin, err := fleet.Build()
	if err != nil {
		t.Fatal(err)
	}
	defer bin.Remove()
	for seed := *first; seed < *first+*seeds && !t.Failed(); seed++ {
		deployment := []string{"association", "heating"}[seed%2]
		res := play(t, Draw(deployment, seed, *duration, *machines).Only(*onlyKind), bin)
		t.Logf("%s, seed %d: sent %d, endings %v, %d departures, %d configurations", deployment, seed, res.Sent, res.Endings, res.Departures, res.Configurations)
		for _, b := range res.Breaches {
			if *onlyRule == "" || b.Rule == ledger.Rule(*onlyRule) {
				t.Errorf("%v", b)
			}
		}
		if t.Failed() {
			t.Logf("%s\n%s", strings.Join(res.BreachReports, "\n"), res.Plan.Text())
		}
	}
}

func play(t *testing.T, p Plan, bin fleet.Binaries) *Result {
	t.Helper()
	r, err := New(p, bin, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), seconds(p.Seconds)+extraTime)
	defer cancel()
	res, err := r.Play(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// TestPlansRoundTripAndInvalidOnesAreRejected checks that a plan survives printing and parsing
// unchanged, so that a failed run can be played again from its printed plan. Plans with planned
// changes only contain no faults, and invalid plans are rejected.
func TestPlansRoundTripAndInvalidOnesAreRejected(t *testing.T) {
	for seed := range uint64(200) {
		p := Draw("heating", seed, 30*time.Second, 7)
		if parsed, err := ReadPlan([]byte(p.Text())); err != nil || parsed.Text() != p.Text() || len(p.Entries) < 3 {
			t.Errorf("seed %d: plan changed when parsed (error %v) or has fewer than 3 entries:\n%s", seed, err, p.Text())
		}
		planned := seed%4 == 0
		for _, e := range p.Entries {
			if planned && !kinds[e.Kind].planned {
				t.Errorf("seed %d: got fault %s in a plan of planned changes only", seed, e.Kind)
			}
		}
	}
	valid := Draw("association", 1, 10*time.Second, 5)
	for name, invalidate := range map[string]func(p *Plan){
		"deployment": func(p *Plan) { p.Deployment = "x" },
		"machines":   func(p *Plan) { p.Machines = 1 << 20 },
		"seconds":    func(p *Plan) { p.Seconds = 0 },
		"clients":    func(p *Plan) { p.Clients = 0 },
		"last":       func(p *Plan) { p.Last = "x" },
		"kind":       func(p *Plan) { p.Entries[0].Kind = "x" },
		"time":       func(p *Plan) { p.Entries[0].At = -1 },
	} {
		t.Run("invalid "+name, func(t *testing.T) {
			p := valid
			p.Entries = append([]Entry{}, valid.Entries...)
			if invalidate(&p); p.Check() == nil {
				t.Error("Check accepted an invalid plan, want an error")
			}
		})
	}
	if _, err := ReadPlan([]byte("entry = 3")); err == nil {
		t.Error("ReadPlan accepted a text that is not a plan, want an error")
	}
	if err := CheckCapacity(Plan{Deployment: "association", Machines: maxProcesses}); err == nil {
		t.Error("CheckCapacity accepted more processes than allowed, want an error")
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}
