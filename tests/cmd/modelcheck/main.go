// Command modelcheck explores the long runs of tests/modelcheck and prints the result of each. It
// ends with 1 if an invariant is broken.
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
	broken := false
	for _, r := range modelcheck.LongRuns {
		if opt.Only != "" && r.Name != opt.Only {
			continue
		}
		r.States = opt.States
		begin := time.Now()
		result := modelcheck.Explore(r.Scenario, r.Bounds)
		fmt.Printf("%s %s in %v: %s\n", r.Name, r.Bounds, time.Since(begin).Round(time.Second), result)
		if result.Violation != "" {
			broken = true
			fmt.Printf("broken: %s, after\n", result.Violation)
			for _, e := range result.Trace {
				fmt.Println("  " + e)
			}
		}
	}
	if broken {
		os.Exit(1)
	}
}
