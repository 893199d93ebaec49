// Package modelcheck explores every interleaving of a bounded system of cores: deliveries in
// any order, losses, doubled messages, crashes with each outcome of an unsynced write,
// lost disks, timeouts. The decisions are the production's (consensus.Acceptor,
// consensus.Proposer, the sets of slots); only messages, disks and time are the model's.
// States that behave alike from there on are merged. (DESIGN 14.9)
package modelcheck

import "fmt"

// Bounds limit an exploration: how often each failure may come about, and how many
// events follow each other at most.
type Bounds struct {
	Crashes, Timeouts, Duplicated, DisksLost int
	// QuorumReads are quorum reads whose answers come at different moments.
	QuorumReads int
	Depth       int
	// States ends the exploration early; zero: never.
	States int
}

// String names the bounds.
func (b Bounds) String() string {
	return fmt.Sprintf("(crashes %d, timeouts %d, doubled %d, disks lost %d, looks %d, depth %d)", b.Crashes, b.Timeouts, b.Duplicated, b.DisksLost, b.QuorumReads, b.Depth)
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
	// Violation is the first invariant found broken, and Trace the events that led there.
	Violation string
	Trace     []string
}

// String sums the result up.
func (r Result) String() string {
	return fmt.Sprintf("%d states, %d events, %d merged, %d deep, %d states not followed further; answers %v",
		r.States, r.Steps, r.Merged, r.Deepest, r.Cut, r.Answers)
}

// branch is a state with the way to it.
type branch struct {
	state  *state
	parent *branch
	event  event
	depth  int
}

func (b *branch) trace() (out []string) {
	for ; b.parent != nil; b = b.parent {
		out = append([]string{b.event.String()}, out...)
	}
	return out
}

// exploration is an exploration under way.
type exploration struct {
	bounds  Bounds
	seen    map[digest]struct{}
	checked map[digest]struct{}
	queue   []*branch
	result  Result
}

// Explore tries all events in all states that a scenario comes to under bounds, in the
// order of their depth, so that what it finds broken it finds by a shortest run.
func Explore(scenario Scenario, bounds Bounds) Result {
	initial := newState(scenario, bounds)
	e := &exploration{
		bounds: bounds, seen: map[digest]struct{}{initial.digest(): {}}, checked: map[digest]struct{}{},
		queue: []*branch{{state: initial}}, result: Result{States: 1, Answers: map[string]int{}},
	}
	for len(e.queue) > 0 && e.result.Violation == "" {
		current := e.queue[0]
		e.queue[0] = nil
		e.queue = e.queue[1:]
		e.expand(current)
	}
	return e.result
}

// expand tries all events in one state.
func (e *exploration) expand(current *branch) {
	deep := e.bounds.Depth > 0 && current.depth >= e.bounds.Depth
	full := e.bounds.States > 0 && e.result.States >= e.bounds.States
	if deep || full {
		e.result.Cut++
		return
	}
	now := current.state
	current.state = nil // only the way to it is needed any more
	for _, next := range now.events() {
		e.result.Steps++
		e.visit(&branch{state: now.step(next), parent: current, event: next, depth: current.depth + 1})
		if e.result.Violation != "" {
			return
		}
	}
}

// visit takes a state that an event led to.
func (e *exploration) visit(to *branch) {
	if key := to.state.digest(); to.state.violation == "" {
		if contains(e.seen, key) {
			e.result.Merged++
			return
		}
		e.seen[key] = struct{}{}
		e.result.States++
		e.result.Deepest = max(e.result.Deepest, to.depth)
	}
	for _, a := range to.state.results {
		e.result.Answers[a]++
	}
	if view := to.state.acceptorDigest(); to.state.violation == "" && !contains(e.checked, view) {
		e.checked[view] = struct{}{}
		to.state.violation = to.state.checkReads()
	}
	if to.state.violation != "" {
		e.result.Violation, e.result.Trace = to.state.violation, to.trace()
		return
	}
	e.queue = append(e.queue, to)
}

func contains(set map[digest]struct{}, d digest) bool { _, ok := set[d]; return ok }
