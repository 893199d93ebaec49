package modelcheck

import "fmt"

// Bounds limits an exploration: the number of times that each failure may happen, and the number
// of events in a sequence.
type Bounds struct {
	// Crashes, Timeouts, Duplicated and DisksLost are the maximum numbers of node crashes,
	// timeouts, duplicated messages and lost disks.
	Crashes, Timeouts, Duplicated, DisksLost int
	// QuorumReads is the maximum number of quorum reads. Other events may happen between the
	// replies to a quorum read.
	QuorumReads int
	// Depth is the maximum length of a sequence of events; zero means no limit.
	Depth int
	// States is the number of states after which the exploration stops; zero means no limit.
	States int
}

// String returns the bounds as text.
func (b Bounds) String() string {
	return fmt.Sprintf("(crashes %d, timeouts %d, duplicated %d, disks lost %d, quorum reads %d, depth %d)", b.Crashes, b.Timeouts, b.Duplicated, b.DisksLost, b.QuorumReads, b.Depth)
}

// Result is the result of an exploration.
type Result struct {
	// States counts the distinct states, Steps the events tried, and Merged the events that led
	// to a known state. Deepest is the length of the longest sequence of events.
	States, Steps, Merged, Deepest int
	// Unexpanded counts the states whose events were not tried because the limit on the depth or on the
	// number of states was reached. If it is zero, the exploration is exhaustive under its bounds.
	Unexpanded int
	// Outcomes counts the results of commands, by the command's name and its outcome.
	Outcomes map[string]int
	// Violation describes the first violated invariant, and Trace lists the events that led to it.
	Violation string
	Trace     []string
}

// String returns a summary of the result.
func (r Result) String() string {
	return fmt.Sprintf("%d states, %d events, %d merged, maximum depth %d, %d states not expanded; outcomes %v",
		r.States, r.Steps, r.Merged, r.Deepest, r.Unexpanded, r.Outcomes)
}

// branch is a state with the events that led to it.
type branch struct {
	state  *state
	parent *branch
	event  event
	depth  int
}

// trace returns the events that led to a branch, in order.
func (b *branch) trace() (out []string) {
	for ; b.parent != nil; b = b.parent {
		out = append([]string{b.event.String()}, out...)
	}
	return out
}

// exploration is an exploration in progress.
type exploration struct {
	bounds  Bounds
	seen    map[digest]struct{} // digests of the states found
	checked map[digest]struct{} // acceptor digests for which reads were checked
	queue   []*branch
	result  Result
}

// Explore tries all events in all states that a scenario reaches under bounds. The search is
// breadth-first, so the trace of a violation is a shortest one.
func Explore(scenario Scenario, bounds Bounds) Result {
	initial := newState(scenario, bounds)
	e := &exploration{
		bounds: bounds, seen: map[digest]struct{}{initial.digest(): {}}, checked: map[digest]struct{}{},
		queue: []*branch{{state: initial}}, result: Result{States: 1, Outcomes: map[string]int{}},
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
		e.result.Unexpanded++
		return
	}
	now := current.state
	current.state = nil // frees memory: from here on only the trace is needed
	for _, next := range now.events() {
		e.result.Steps++
		e.visit(&branch{state: now.step(next), parent: current, event: next, depth: current.depth + 1})
		if e.result.Violation != "" {
			return
		}
	}
}

// visit adds the state that an event led to, unless it is known, and checks it.
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
		e.result.Outcomes[a]++
	}
	if acceptors := to.state.acceptorDigest(); to.state.violation == "" && !contains(e.checked, acceptors) {
		e.checked[acceptors] = struct{}{}
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
