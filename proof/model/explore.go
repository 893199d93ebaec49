// Package model explores every interleaving of a bounded system of cores: deliveries in
// any order, losses, doubled messages, crashes with each outcome of an unsynced write,
// lost disks, timeouts. The decisions are the production's (register.Voter,
// register.Clerk, the sets of slots); only messages, disks and time are the model's.
// States that behave alike from there on are merged. (DESIGN 14.9)
package model

import "fmt"

// Bounds limit an exploration: how often each failure may come about, and how many
// events follow each other at most.
type Bounds struct {
	Crashes, Timeouts, Doubled, Wiped int
	Depth                             int
	// States ends the exploration early; zero: never.
	States int
}

// String names the bounds.
func (b Bounds) String() string {
	return fmt.Sprintf("(crashes %d, timeouts %d, doubled %d, disks lost %d, depth %d)", b.Crashes, b.Timeouts, b.Doubled, b.Wiped, b.Depth)
}

// Result is what an exploration came to.
type Result struct {
	// States counts the different ones, Steps the events tried, Merged the events that
	// led to a state known before, Deepest the longest run of events.
	States, Steps, Merged, Deepest int
	// Cut counts states whose events were not tried, since the depth or the number of
	// states was reached. None: the exploration is exhaustive under its bounds.
	Cut int
	// Answers counts the operators' answers by result.
	Answers map[string]int
	// Broken is the first invariant found broken, and Trace the events that led there.
	Broken string
	Trace  []string
}

// String sums the result up.
func (r Result) String() string {
	return fmt.Sprintf("%d states, %d events, %d merged, %d deep, %d states not followed further; answers %v",
		r.States, r.Steps, r.Merged, r.Deepest, r.Cut, r.Answers)
}

// branch is a state with the way to it.
type branch struct {
	s     *state
	from  *branch
	event event
	depth int
}

func (b *branch) trace() (out []string) {
	for ; b.from != nil; b = b.from {
		out = append([]string{b.event.String()}, out...)
	}
	return out
}

// Explore tries all events in all states that a scenario comes to under bounds, in the
// order of their depth, so that what it finds broken it finds by a shortest run.
func Explore(sc Scenario, b Bounds) Result {
	res := Result{Answers: map[string]int{}}
	begin := newState(sc, b)
	seen := map[digest]struct{}{begin.digest(): {}}
	checked := map[digest]struct{}{}
	res.States = 1
	queue := []*branch{{s: begin}}
	for len(queue) > 0 {
		at := queue[0]
		queue[0] = nil
		queue = queue[1:]
		if b.Depth > 0 && at.depth >= b.Depth || b.States > 0 && res.States >= b.States {
			res.Cut++
			continue
		}
		now := at.s
		at.s = nil // only the way to it is needed any more
		for _, e := range now.events() {
			next := now.step(e)
			res.Steps++
			to := &branch{s: next, from: at, event: e, depth: at.depth + 1}
			if next.broken != "" {
				res.Broken, res.Trace = next.broken, to.trace()
				return res
			}
			key := next.digest()
			if _, ok := seen[key]; ok {
				res.Merged++
				continue
			}
			seen[key] = struct{}{}
			res.States++
			res.Deepest = max(res.Deepest, to.depth)
			for _, a := range next.answered {
				res.Answers[a]++
			}
			if view := next.view(); !has(checked, view) {
				checked[view] = struct{}{}
				if next.broken = next.check(); next.broken != "" {
					res.Broken, res.Trace = next.broken, to.trace()
					return res
				}
			}
			queue = append(queue, to)
		}
	}
	return res
}

func has(set map[digest]struct{}, d digest) bool { _, ok := set[d]; return ok }
