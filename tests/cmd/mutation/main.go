// Command mutation applies each mutation of the catalogue to a scratch copy of the tree and runs
// the test that must fail there. It reports which mutations are killed, and exits with 1 if one
// survives and with 2 if the mutations cannot be run.
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
		Only   string `long:"only" description:"only mutations whose file, test or invariant contains this"`
		Copies int    `long:"copies" default:"3" description:"how many copies of the tree are used in parallel"`
	}
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(2)
	}
	tried, survived, err := runMutations(opt.Only, opt.Copies)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Printf("%d mutations, %d survived\n", tried, survived)
	if survived > 0 {
		os.Exit(1)
	}
}

// runMutations runs the mutations whose file, test or invariant contains only, in parallel on the
// given number of copies of the tree. It returns how many were tried and how many survived. A
// mutation that could not be run counts as survived.
func runMutations(only string, copies int) (tried, survived int, err error) {
	queue := make(chan mutation.Mutation)
	results := make(chan bool)
	var workers sync.WaitGroup
	for range copies {
		root, err := copyTree()
		if err != nil {
			return 0, 0, err
		}
		defer os.RemoveAll(root)
		workers.Go(func() {
			for m := range queue {
				results <- runMutation(m, root)
			}
		})
	}
	go func() {
		for _, m := range mutation.All {
			if strings.Contains(m.File+" "+m.Test+" "+m.Invariant, only) {
				queue <- m
			}
		}
		close(queue)
		workers.Wait()
		close(results)
	}()
	for killed := range results {
		tried++
		if !killed {
			survived++
		}
	}
	return tried, survived, nil
}

// copyTree copies the files that git tracks to a temporary directory and returns its path. The
// caller must remove the directory.
func copyTree() (root string, err error) {
	root, err = os.MkdirTemp("", "curlewwalk-mutation-")
	if err != nil {
		return "", err
	}
	return root, exec.Command("sh", "-c", `git ls-files -z | xargs -0 cp --parents -t "$0"`, root).Run()
}

// runMutation runs one mutation in a copy of the tree, prints the result, and reports whether the
// mutation was killed.
func runMutation(m mutation.Mutation, root string) bool {
	killed, output, err := m.Killed(root)
	switch {
	case err != nil:
		fmt.Printf("ERROR  %-42s %-26s %v\n%s\n", m.Invariant, m.Test, err, output)
		return false
	case killed:
		fmt.Printf("killed %-42s %-26s %s\n", m.Invariant, m.Test, m.File)
	default:
		fmt.Printf("SURVIVED %-42s %-26s %s: %s -> %s\n", m.Invariant, m.Test, m.File, m.Old, m.New)
	}
	return killed
}
