package modelcheck

import "fmt"

// Bounds limit an exploration: how often each failure may happen, and how many events may
// follow each other.
type Bounds struct {
	// Crashes, Timeouts, Duplicated and DisksLost are how often that may happen.
	Crashes, Timeouts, Duplicated, DisksLost int
	// QuorumReads are reads whose replies are given at different moments.
	QuorumReads int
	// Depth is the longest sequence of events; zero: any.
	Depth int
	// States ends the exploration after so many states; zero: never.
	States int
}

// String prints the bounds.
func (b Bounds) String() string {
	return fmt.Sprintf("(crashes %d, timeouts %d, duplicated %d, disks lost %d, quorum reads %d, depth %d)", b.Crashes, b.Timeouts, b.Duplicated, b.DisksLost, b.QuorumReads, b.Depth)
}

// Result is the result of an exploration.
type Result struct {
	// States counts the different states, Steps the events tried, Merged the events that led
	// to a known state, Deepest is the longest sequence of events.
	States, Steps, Merged, Deepest int
	// Cut counts the states whose events were not tried since a bound was reached. Zero: the
	// exploration is exhaustive under its bounds.
	Cut int
	// Answers counts the results of commands, by command and outcome.
	Answers map[string]int
	// Violation is the first broken invariant, Trace the events that led there.
	Violation string
	Trace     []string
}

// String sums the result up.
func (r Result) String() string {
	return fmt.Sprintf("%d states, %d events, %d merged, %d deep, %d states not followed further; answers %v",
		r.States, r.Steps, r.Merged, r.Deepest, r.Cut, r.Answers)
}

// branch is a state with the events that led to it.
type branch struct {
	state  *state
	parent *branch
	event  event
	depth  int
}

// trace lists the events that led to a branch.
func (b *branch) trace() (out []string) {
	for ; b.parent != nil; b = b.parent {
		out = append([]string{b.event.String()}, out...)
	}
	return out
}

// exploration is an exploration in progress.
type exploration struct {
	bounds  Bounds
	seen    map[digest]struct{} // states
	checked map[digest]struct{} // acceptor digests whose reads were checked
	queue   []*branch
	result  Result
}

// Explore tries all events in all states that a scenario reaches under bounds. It does so in
// the order of depth, so that a violation is found by a shortest sequence of events.
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
	current.state = nil // from now on only the way to it is needed
	for _, next := range now.events() {
		e.result.Steps++
		e.visit(&branch{state: now.step(next), parent: current, event: next, depth: current.depth + 1})
		if e.result.Violation != "" {
			return
		}
	}
}

// visit takes in a state that an event led to.
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

// contains reports whether a digest is in a set.
func contains(set map[digest]struct{}, d digest) bool { _, ok := set[d]; return ok }
