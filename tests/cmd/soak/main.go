// Command soak runs whole fleets of one of the two deployments under overlapping faults, which are
// drawn from seeds. It judges each run by the records of clients, backends and operators. It exits
// with 1 if a rule was broken or a run failed, and with 2 if the command line or a plan is invalid
// or the machine is too small. (DESIGN 14.10)
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
	"curlewwalk/tests/soak"
)

// options are the command-line options.
type options struct {
	Deployment string        `long:"deployment" default:"association" description:"association or heating"`
	Seed       uint64        `long:"seed" default:"1" description:"the seed to play"`
	Seeds      string        `long:"seeds" description:"a range of seeds to play instead, as 1-50"`
	For        time.Duration `long:"for" default:"60s" description:"for how long faults may begin"`
	Size       int           `long:"size" description:"how many sidecars; the deployment's own number if not set"`
	Only       string        `long:"only" description:"only entries whose kinds contain this"`
	Plan       string        `long:"plan" description:"a plan (TOML) to play instead of drawing one"`
	Results    string        `long:"results" description:"a file that results are added to, a line of JSON each"`
	Shorten    int           `long:"shorten" description:"how many plays may go into shortening a plan that breaks"`
	Print      bool          `long:"print" description:"print the plan and do nothing"`
	Verbose    bool          `long:"verbose" description:"print each entry as it begins"`
}

// The exit codes.
const (
	exitBroken = 1
	exitUsage  = 2
)

func main() {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			os.Exit(0)
		}
		os.Exit(exitUsage)
	}
	plans, err := plans(opt)
	if err == nil {
		err = soak.CheckCapacity(plans[0])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if opt.Print {
		fmt.Print(plans[0].Text())
		return
	}
	broken, err := play(opt, plans)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if broken > 0 || err != nil {
		os.Exit(exitBroken)
	}
}

// plans returns the plans that the options select.
func plans(opt options) ([]soak.Plan, error) {
	if opt.Plan != "" {
		text, err := os.ReadFile(opt.Plan)
		if err != nil {
			return nil, err
		}
		p, err := soak.ReadPlan(text)
		return []soak.Plan{p}, err
	}
	first, last, err := seedRange(opt)
	if err != nil {
		return nil, err
	}
	var out []soak.Plan
	for seed := first; seed <= last; seed++ {
		p := soak.Draw(opt.Deployment, seed, opt.For, opt.Size)
		if err := p.Check(); err != nil {
			return nil, err
		}
		out = append(out, p.Only(opt.Only))
	}
	return out, nil
}

// seedRange returns the first and the last seed to be played.
func seedRange(opt options) (first, last uint64, err error) {
	if opt.Seeds == "" {
		return opt.Seed, opt.Seed, nil
	}
	from, to, _ := strings.Cut(opt.Seeds, "-")
	if first, err = strconv.ParseUint(from, 10, 64); err == nil {
		last, err = strconv.ParseUint(to, 10, 64)
	}
	if err != nil || last < first {
		return 0, 0, fmt.Errorf("--seeds %q is not a range such as 1-50", opt.Seeds)
	}
	return first, last, nil
}

// play plays plans one after the other and returns the number of those that broke a rule. An
// interrupt ends it after the results so far have been printed.
func play(opt options, plans []soak.Plan) (broken int, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	bin, err := fleet.Build()
	if err != nil {
		return 0, err
	}
	defer bin.Remove()
	table := soak.NewTable(os.Stdout)
	for _, p := range plans {
		res, err := playOne(ctx, opt, p, bin)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			return broken, fmt.Errorf("play plan of seed %d: %w", p.Seed, err)
		}
		table.Print(res)
		if err := appendResult(opt.Results, res); err != nil {
			return broken, err
		}
		if len(res.Breaches) > 0 {
			broken++
			reportBroken(ctx, opt, res, bin)
		}
	}
	fmt.Printf("%d of %d plans broke a rule\n", broken, table.Played())
	return broken, nil
}

// playOne plays one plan. With --verbose it prints the lines of the run to standard error.
func playOne(ctx context.Context, opt options, p soak.Plan, bin fleet.Binaries) (*soak.Result, error) {
	out := io.Discard
	if opt.Verbose {
		out = os.Stderr
	}
	r, err := soak.New(p, bin, out)
	if err != nil {
		return nil, err
	}
	return r.Play(ctx)
}

// reportBroken prints the first breaches of a plan that broke a rule, the plan, and the command
// that draws the plan again from its seed and plays it. If --shorten is set, it prints the
// shortened plan.
func reportBroken(ctx context.Context, opt options, res *soak.Result, bin fleet.Binaries) {
	for _, report := range res.BreachReports {
		fmt.Println(report)
	}
	plan := res.Plan
	if opt.Shorten > 0 {
		var rules []ledger.Rule
		for _, b := range res.Breaches {
			rules = append(rules, b.Rule)
		}
		plan = soak.Shorten(ctx, plan, rules, bin, opt.Shorten, os.Stdout)
	}
	fmt.Println(plan.Text())
	fmt.Printf("again: go run ./tests/cmd/soak --deployment %s --seed %d --for %v --size %d --only %q\n", plan.Deployment, plan.Seed, opt.For, opt.Size, opt.Only)
}

// appendResult appends a result to the file at path as a line of JSON. It does nothing if path is
// empty.
func appendResult(path string, res *soak.Result) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	defer f.Close()
	return json.NewEncoder(f).Encode(res)
}
