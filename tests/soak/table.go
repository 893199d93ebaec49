package soak

import (
	"fmt"
	"io"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/ledger"
)

// Table prints results, one per line.
type Table struct {
	out    io.Writer
	played int
}

// NewTable returns a table that prints to out, and prints its header.
func NewTable(out io.Writer) *Table {
	fmt.Fprintf(out, "%-12s %6s %5s %7s %8s %8s %7s %6s %6s %6s %6s %7s %7s  %s\n",
		"deployment", "seed", "size", "entries", "sent", "answered", "refused", "interr.", "aband.", "depart", "config", "p50-ms", "p999-ms", "broken")
	return &Table{out: out}
}

// Print prints the line of a result.
func (t *Table) Print(r *Result) {
	t.played++
	counts := map[ledger.Rule]int{}
	for _, b := range r.Breaches {
		counts[b.Rule]++
	}
	broken := "nothing"
	if len(counts) > 0 {
		broken = fmt.Sprint(counts)
	}
	fmt.Fprintf(t.out, "%-12s %6d %5d %7d %8d %8d %7d %6d %6d %6d %6d %7d %7d  %s\n",
		r.Plan.Deployment, r.Seed, r.Size, r.Entries-r.Skipped, r.Sent, r.Endings[fakes.Answered], r.Endings[fakes.Refused],
		r.Endings[fakes.Interrupted], r.Endings[fakes.Abandoned], r.Departures, r.Configurations, r.MedianMS, r.P999MS, broken)
}

// Played returns the number of results that were printed.
func (t *Table) Played() int { return t.played }
