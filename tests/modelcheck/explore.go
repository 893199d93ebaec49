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
	Crashes, Timeouts, Doubled, Wiped int
	// Looks are quorum reads whose answers come at different moments.
	Looks int
	Depth int
	// States ends the exploration early; zero: never.
	States int
}

// String names the bounds.
func (b Bounds) String() string {
	return fmt.Sprintf("(crashes %d, timeouts %d, doubled %d, disks lost %d, looks %d, depth %d)", b.Crashes, b.Timeouts, b.Doubled, b.Wiped, b.Looks, b.Depth)
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
func Explore(sc Scenario, b Bounds) Result {
	begin := newState(sc, b)
	x := &exploration{
		bounds: b, seen: map[digest]struct{}{begin.digest(): {}}, checked: map[digest]struct{}{},
		queue: []*branch{{s: begin}}, result: Result{States: 1, Answers: map[string]int{}},
	}
	for len(x.queue) > 0 && x.result.Broken == "" {
		at := x.queue[0]
		x.queue[0] = nil
		x.queue = x.queue[1:]
		x.follow(at)
	}
	return x.result
}

// follow tries all events in one state.
func (x *exploration) follow(at *branch) {
	deep := x.bounds.Depth > 0 && at.depth >= x.bounds.Depth
	full := x.bounds.States > 0 && x.result.States >= x.bounds.States
	if deep || full {
		x.result.Cut++
		return
	}
	now := at.s
	at.s = nil // only the way to it is needed any more
	for _, e := range now.events() {
		x.result.Steps++
		x.reach(&branch{s: now.step(e), from: at, event: e, depth: at.depth + 1})
		if x.result.Broken != "" {
			return
		}
	}
}

// reach takes a state that an event led to.
func (x *exploration) reach(to *branch) {
	if key := to.s.digest(); to.s.broken == "" {
		if has(x.seen, key) {
			x.result.Merged++
			return
		}
		x.seen[key] = struct{}{}
		x.result.States++
		x.result.Deepest = max(x.result.Deepest, to.depth)
	}
	for _, a := range to.s.answered {
		x.result.Answers[a]++
	}
	if view := to.s.view(); to.s.broken == "" && !has(x.checked, view) {
		x.checked[view] = struct{}{}
		to.s.broken = to.s.check()
	}
	if to.s.broken != "" {
		x.result.Broken, x.result.Trace = to.s.broken, to.trace()
		return
	}
	x.queue = append(x.queue, to)
}

func has(set map[digest]struct{}, d digest) bool { _, ok := set[d]; return ok }
