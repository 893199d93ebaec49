// Command modelcheck explores the long runs of tests/modelcheck and prints the result of each. It
// exits with 1 if an invariant is violated.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"curlewwalk/tests/modelcheck"
)

func main() {
	var opt struct {
		States int    `long:"states" default:"1000000" description:"end each run after so many states; states that were not expanded are counted"`
		Only   string `long:"only" description:"only the runs of this scenario"`
	}
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(2)
	}
	violated := false
	for _, r := range modelcheck.LongRuns {
		if opt.Only != "" && r.Name != opt.Only {
			continue
		}
		r.States = opt.States
		start := time.Now()
		result := modelcheck.Explore(r.Scenario, r.Bounds)
		fmt.Printf("%s %s in %v: %s\n", r.Name, r.Bounds, time.Since(start).Round(time.Second), result)
		if result.Violation != "" {
			violated = true
			fmt.Printf("broken: %s, after\n", result.Violation)
			for _, step := range result.Trace {
				fmt.Println("  " + step)
			}
		}
	}
	if violated {
		os.Exit(1)
	}
}
