// Command fleet runs a fleet of the size of one of the two deployments under load, prints the
// results of the clients, and judges the run. It exits with 1 if a rule was broken or the run
// failed.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

// options are the command-line options.
type options struct {
	Deployment string             `long:"deployment" choice:"association" choice:"heating" default:"association" description:"whose size to run"`
	For        time.Duration      `long:"for" default:"10s" description:"how long clients send"`
	Rate       float64            `long:"rate" description:"requests a second instead of the deployment's own"`
	Machines   int                `long:"machines" description:"how many machines instead of the deployment's own, with a backend each"`
	Capacity   int                `long:"capacity" description:"capacity of each backend instead of the deployment's own"`
	Retry      int                `long:"retry" description:"how often clients retry at once after a refusal"`
	Keyed      bool               `long:"keyed" description:"clients send each request with an Idempotency-Key"`
	Slow       map[string]float64 `long:"slow" description:"a zone whose backends are so many times slower (west:5)"`
	Lose       string             `long:"lose" description:"a zone that loses power after half of the time"`
	Bin        string             `long:"bin" description:"a directory with programs built from another version, for measurements in pairs"`
	Links      int                `long:"links" default:"500" description:"how many inner calls to count the links of"`
}

func main() {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(2)
	}
	size := fleet.Deployment(opt.Deployment)
	if opt.Rate > 0 {
		size.Rate = opt.Rate
	}
	if opt.Machines > 0 {
		size.Machines, size.Backends = opt.Machines, fleet.RepeatServices(opt.Machines, size.Backends[:3]...)
	}
	if opt.Capacity > 0 {
		size.Capacity = opt.Capacity
	}
	size.SlowFactor = opt.Slow
	if err := run(size, opt); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs a fleet and prints its results. It returns an error if a rule was broken.
func run(size fleet.Size, opt options) error {
	bin := fleet.Binaries(opt.Bin)
	if opt.Bin == "" {
		var err error
		if bin, err = fleet.Build(); err != nil {
			return err
		}
		defer bin.Remove()
	}
	f, err := fleet.New(size, bin)
	if err != nil {
		return err
	}
	defer f.Close()
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := f.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("fleet %s: %d machines, %d replicas; serving after %v\n", size.Name, size.Machines, size.Replicas, time.Since(start).Round(time.Millisecond))
	load, stop := context.WithTimeout(context.Background(), opt.For)
	defer stop()
	report := &fleet.Report{}
	clients := f.Clients()
	for _, c := range clients {
		c.OnAnswer, c.Retries, c.Keyed = report.Record, opt.Retry, opt.Keyed
	}
	if opt.Lose != "" {
		half := time.AfterFunc(opt.For/2, func() { f.PowerOffZone(opt.Lose) })
		defer half.Stop()
	}
	f.RunClients(load, clients...)
	v := f.Ledger.Judge()
	fmt.Print(report)
	fmt.Printf("sent %d (inner calls included), ran %d, succeeded %d, not-run %d, unknown %d\n", v.Sent, v.Ran, v.Succeeded, v.NotRun, v.Unknown)
	fmt.Printf("in another zone than the sender's: %.1f%%; runs by backend: %v\n", 100*float64(v.CrossZone)/float64(v.Ran), v.Spread)
	read, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	links, err := f.CountLinks(read, opt.Links)
	if err != nil {
		return err
	}
	if opt.Links > 0 {
		fmt.Println("links of inner calls:", links)
	}
	return checkVerdict(v)
}

// checkVerdict prints the breaches of a verdict and returns an error if there are any.
func checkVerdict(v ledger.Verdict) error {
	for _, b := range v.Breaches {
		fmt.Println("BROKEN:", b)
	}
	if len(v.Breaches) > 0 {
		return fmt.Errorf("run of the fleet has %d breaches of rules", len(v.Breaches))
	}
	return nil
}
