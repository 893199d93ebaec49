// Command mutation puts each deliberate defect into scratch copies of the tree, runs
// the proof that must catch it there, and tells which are caught.
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
		Only  string `long:"only" description:"only defects whose file, test or line has this in it"`
		Count int    `long:"copies" default:"3" description:"how many copies work side by side"`
	}
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(2)
	}
	tried, survived, err := runMutations(opt.Only, opt.Count)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Printf("%d defects, %d not caught\n", tried, survived)
	if survived > 0 {
		os.Exit(1)
	}
}

// runMutations puts the defects that have only in them into so many copies of the tree, and
// counts those that were tried and those that were not caught.
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

// copyTree copies the files that git knows to a folder of its own.
func copyTree() (root string, err error) {
	root, err = os.MkdirTemp("", "curlewwalk-defects-")
	if err != nil {
		return "", err
	}
	return root, exec.Command("sh", "-c", `git ls-files -z | xargs -0 cp --parents -t "$0"`, root).Run()
}

// runMutation tries one defect in a copy and prints what came of it.
func runMutation(d mutation.Mutation, root string) bool {
	ok, output, err := d.Killed(root)
	switch {
	case err != nil:
		fmt.Printf("ERROR  %-42s %-26s %v\n%s\n", d.Invariant, d.Test, err, output)
		return false
	case ok:
		fmt.Printf("caught %-42s %-26s %s\n", d.Invariant, d.Test, d.File)
	default:
		fmt.Printf("MISSED %-42s %-26s %s: %s -> %s\n", d.Invariant, d.Test, d.File, d.Old, d.New)
	}
	return ok
}
