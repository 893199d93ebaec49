// Command mutation applies each mutation of the catalogue to scratch copies of the tree, runs
// the test that must fail there, and reports which mutations are killed. It ends with 1 if
// one survives.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"

	"github.com/jessevdk/go-flags"

	"curlewwalk/tests/mutation"
)

func main() {
	var opt struct {
		Only  string `long:"only" description:"only mutations whose file, test or invariant contains this"`
		Count int    `long:"copies" default:"3" description:"how many copies of the tree are used in parallel"`
	}
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(2)
	}
	tried, survived, err := runMutations(opt.Only, opt.Count)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Printf("%d mutations, %d survived\n", tried, survived)
	if survived > 0 {
		os.Exit(1)
	}
}

// runMutations applies the mutations that contain only to so many copies of the tree, and counts
// those that were tried and those that survived.
func runMutations(only string, copies int) (tried, survived int, err error) {
	work := make(chan mutation.Mutation)
	results := make(chan bool)
	var workers sync.WaitGroup
	for range copies {
		root, err := copyTree()
		if err != nil {
			return 0, 0, err
		}
		defer os.RemoveAll(root)
		workers.Go(func() {
			for d := range work {
				results <- runMutation(d, root)
			}
		})
	}
	go func() {
		for _, d := range mutation.All {
			if strings.Contains(d.File+" "+d.Test+" "+d.Invariant, only) {
				work <- d
			}
		}
		close(work)
		workers.Wait()
		close(results)
	}()
	for ok := range results {
		tried++
		if !ok {
			survived++
		}
	}
	return tried, survived, nil
}

// copyTree copies the files that git tracks to a temporary directory.
func copyTree() (root string, err error) {
	root, err = os.MkdirTemp("", "curlewwalk-mutation-")
	if err != nil {
		return "", err
	}
	return root, exec.Command("sh", "-c", `git ls-files -z | xargs -0 cp --parents -t "$0"`, root).Run()
}

// runMutation tries one mutation in a copy of the tree, prints the result, and reports whether it
// was killed.
func runMutation(d mutation.Mutation, root string) bool {
	ok, output, err := d.Killed(root)
	switch {
	case err != nil:
		fmt.Printf("ERROR  %-42s %-26s %v\n%s\n", d.Invariant, d.Test, err, output)
		return false
	case ok:
		fmt.Printf("killed %-42s %-26s %s\n", d.Invariant, d.Test, d.File)
	default:
		fmt.Printf("SURVIVED %-42s %-26s %s: %s -> %s\n", d.Invariant, d.Test, d.File, d.Old, d.New)
	}
	return ok
}
