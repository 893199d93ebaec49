package soak

import (
	"context"
	"fmt"
	"io"
	"slices"

	"curlewwalk/tests/fleet"
	"curlewwalk/tests/ledger"
)

// Shorten returns a plan with fewer entries that still breaks one of the rules. It removes first
// halves of the entries and then smaller parts, and keeps each removal after which the plan still
// breaks a rule. It plays at most the given number of plans and writes its progress to out.
func Shorten(ctx context.Context, p Plan, rules []ledger.Rule, bin fleet.Binaries, plays int, out io.Writer) Plan {
	for parts := 2; parts <= 2*len(p.Entries) && plays > 0; parts *= 2 {
		for part := 0; part < parts && plays > 0 && ctx.Err() == nil; part++ {
			from, to := part*len(p.Entries)/parts, (part+1)*len(p.Entries)/parts
			if from == to {
				continue
			}
			shorter := p
			shorter.Entries = slices.Delete(slices.Clone(p.Entries), from, to)
			plays--
			if breaks(ctx, shorter, rules, bin) {
				p = shorter
				fmt.Fprintf(out, "plan with %d entries still breaks a rule\n", len(p.Entries))
				part--
			}
		}
	}
	return p
}

// breaks plays a plan and reports whether it breaks one of the rules. A plan that cannot be played
// counts as one that breaks none.
func breaks(ctx context.Context, p Plan, rules []ledger.Rule, bin fleet.Binaries) bool {
	r, err := New(p, bin, nil)
	if err != nil {
		return false
	}
	res, err := r.Play(ctx)
	return err == nil && slices.ContainsFunc(res.Breaches, func(b ledger.Breach) bool { return slices.Contains(rules, b.Rule) })
}
