// Command day runs a day of one of the two deployments at its size and request rate. It
// injects failures in an order drawn from a seed and one last fault at the end, and judges the run.
// It exits with 1 if a rule was broken or the run failed.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"curlewwalk/tests/day"
	"curlewwalk/tests/fleet"
)

func main() {
	var opt struct {
		Deployment string `long:"deployment" choice:"association" choice:"heating" default:"association" description:"whose day to run"`
		Seed       uint64 `long:"seed" default:"1" description:"seed of the order of failures"`
		Events     int    `long:"events" default:"22" description:"how many failures before the last one"`
		Only       string `long:"only" description:"only failures whose names have this in them"`
	}
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(2)
	}
	size := fleet.Deployment(opt.Deployment)
	ok, err := run(size, opt.Seed, opt.Events, opt.Only)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !ok {
		fmt.Printf("repeat: go run ./tests/cmd/day --deployment %s --seed %d --events %d --only %q\n", opt.Deployment, opt.Seed, opt.Events, opt.Only)
		os.Exit(1)
	}
}

// run runs a day and prints its results. It reports whether no rule was broken.
func run(size fleet.Size, seed uint64, events int, only string) (bool, error) {
	bin, err := fleet.Build()
	if err != nil {
		return false, err
	}
	defer bin.Remove()
	f, err := fleet.New(size, bin)
	if err != nil {
		return false, err
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(events+2)*45*time.Second)
	defer cancel()
	d := day.New(f, seed, os.Stdout)
	d.Only = only
	v, err := d.Run(ctx, events)
	if err != nil {
		return false, err
	}
	recovery, rollout := d.Slowest()
	fmt.Printf("day of %s, seed %d: sent %d, ran %d, succeeded %d, not-run %d, unknown %d, interrupted %d\n", size.Name, seed, v.Sent, v.Ran, v.Succeeded, v.NotRun, v.Unknown, v.Interrupted)
	fmt.Printf("slowest recovery %v, slowest rollout of a configuration %v\n", recovery.Round(time.Millisecond), rollout.Round(time.Millisecond))
	for _, line := range d.Recoveries() {
		fmt.Println(line)
	}
	for i, b := range v.Breaches {
		if i < 20 {
			fmt.Println("BROKEN:", b)
		}
	}
	fmt.Printf("%d rules were broken\n", len(v.Breaches))
	return len(v.Breaches) == 0, nil
}
