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

// The flags choose what TestSeeds plays; without any it is a short run of a few seeds.
var (
	first    = flag.Uint64("first", 3, "first seed")
	seeds    = flag.Uint64("seeds", 2, "how many seeds")
	duration = flag.Duration("length", 14*time.Second, "for how long faults may begin")
	machines = flag.Int("machines", 5, "how many sidecars")
	onlyRule = flag.String("rule", "", "fail for this rule only")
	onlyKind = flag.String("kinds", "", "only entries whose kinds contain this")
)

// limit is how long a run may take beyond its own length.
const limit = 3 * time.Minute

// Whole fleets under overlapping faults keep every rule, as far as clients, backends and operators
// see. The first seed has all kinds of fault, the second planned work only.
func TestSeeds(t *testing.T) {
	bin, err := fleet.Build()
	if err != nil {
		t.Fatal(err)
	}
	defer bin.Remove()
	for seed := *first; seed < *first+*seeds && !t.Failed(); seed++ {
		deployment := []string{"association", "heating"}[seed%2]
		res := play(t, Draw(deployment, seed, *duration, *machines).Only(*onlyKind), bin)
		t.Logf("%s, seed %d: sent %d, ends %v, %d backends left, %d configurations", deployment, seed, res.Sent, res.Endings, res.Departures, res.Configurations)
		for _, b := range res.Breaches {
			if *onlyRule == "" || b.Rule == ledger.Rule(*onlyRule) {
				t.Errorf("%v", b)
			}
		}
		if t.Failed() {
			t.Logf("%s\n%s", strings.Join(res.Narratives, "\n"), res.Plan.Text())
		}
	}
}

func play(t *testing.T, p Plan, bin fleet.Binaries) *Result {
	t.Helper()
	r, err := New(p, bin, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), seconds(p.Seconds)+limit)
	defer cancel()
	res, err := r.Play(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// A plan that is printed is the same when it is read again, and invalid ones are rejected.
func TestPlans(t *testing.T) {
	for seed := range uint64(200) {
		p := Draw("heating", seed, 30*time.Second, 7)
		if again, err := ReadPlan([]byte(p.Text())); err != nil || again.Text() != p.Text() || len(p.Entries) < 3 {
			t.Errorf("seed %d: %v\n%s", seed, err, p.Text())
		}
		planned := seed%4 == 0
		for _, e := range p.Entries {
			if planned && !kinds[e.Kind].planned {
				t.Errorf("seed %d has %s among planned work", seed, e.Kind)
			}
		}
	}
	good := Draw("association", 1, 10*time.Second, 5)
	for name, spoil := range map[string]func(p *Plan){
		"deployment": func(p *Plan) { p.Deployment = "x" },
		"machines":   func(p *Plan) { p.Machines = 1 << 20 },
		"seconds":    func(p *Plan) { p.Seconds = 0 },
		"clients":    func(p *Plan) { p.Clients = 0 },
		"last":       func(p *Plan) { p.Last = "x" },
		"kind":       func(p *Plan) { p.Entries[0].Kind = "x" },
		"time":       func(p *Plan) { p.Entries[0].At = -1 },
	} {
		t.Run("invalid "+name, func(t *testing.T) {
			p := good
			p.Entries = append([]Entry{}, good.Entries...)
			if spoil(&p); p.Check() == nil {
				t.Error("an invalid plan passes the check")
			}
		})
	}
	if _, err := ReadPlan([]byte("entry = 3")); err == nil {
		t.Error("a text that is no plan was read")
	}
	if err := CheckCapacity(Plan{Deployment: "association", Machines: maxProcesses}); err == nil {
		t.Error("more processes than are allowed")
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}
