package simulation

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

const (
	operatorCount = 2
	callEvery     = 500 * time.Millisecond  // about how often each operator orders something
	silence       = 2500 * time.Millisecond // after which an operator calls elsewhere
	mostCalls     = 5                       // of one order
	answerLoss    = 0.3
	// lateForward is how long an order may be on its way to the core on duty at worst.
	lateForward = 8 * time.Second
)

// zones are the zones that are emptied and taken back, each in turn.
var zones = []string{"east", "north", "south", "west"}

// Operators are two that number their configurations from one sequence, at times alike,
// lose answers and repeat their orders at other cores, while zones are emptied and
// taken back in turn. (DESIGN 6.3)
type Operators struct {
	r       *Register
	numbers []uint64 // that were used
	// sent are the configurations that were sent under a number; acked and refused those
	// that any core acknowledged or refused, heard by the operator or not; taken the digest
	// that a settled word has on record.
	sent           map[uint64][][]byte
	acked, refused map[uint64][][]byte
	taken          map[uint64][]byte
	emptied        map[uint64][]string   // by settled stamp
	evacuations    map[string]evacuation // the newest order on each zone
	// Repeats, Conflicts, Evacuations and Overtaken count what went on.
	Acked, Repeats, Conflicts, Evacuations, Overtaken int
}

// evacuation is an order on a zone.
type evacuation struct {
	zone   string
	number int
	empty  bool
	acked  bool
	stamp  uint64 // of its acknowledgement
}

func newOperators(r *Register) *Operators {
	return &Operators{r: r, sent: map[uint64][][]byte{}, acked: map[uint64][][]byte{}, refused: map[uint64][][]byte{}, taken: map[uint64][]byte{}, emptied: map[uint64][]string{}, evacuations: map[string]evacuation{}}
}

// run has the operators work until the faults stop.
func (o *Operators) run(until time.Duration) {
	for n := range operatorCount {
		o.r.repeat(callEvery, until, func() { o.configure(n) })
	}
	for _, zone := range zones {
		o.r.after(o.r.some(time.Second), func() { o.evacuate(zone, until) })
	}
}

// core is one that an operator might reach.
func (o *Operators) core() *core {
	c := o.r.any()
	if !c.up || c.frozen > o.r.now || c.acceptor.Phase != consensus.PhaseEstablished {
		return nil
	}
	return c
}

// configure sends a configuration under a new number, one used of late by anybody, or
// the same as once before.
func (o *Operators) configure(operator int) {
	rng := o.r.rng
	if len(o.numbers) > 0 && rng.IntN(4) == 0 {
		number := o.numbers[len(o.numbers)-1-rng.IntN(min(len(o.numbers), 20))]
		o.Repeats++
		o.call(number, o.sent[number][rng.IntN(len(o.sent[number]))], mostCalls)
		return
	}
	number := o.r.number + 1 + rng.Uint64N(3)
	if len(o.numbers) > 0 && rng.IntN(2) == 0 {
		number = o.numbers[len(o.numbers)-1]
	}
	o.r.number = max(o.r.number, number)
	text := fmt.Appendf(nil, "operator %d at %v under %d", operator, o.r.now, number)
	o.numbers = append(o.numbers, number)
	o.sent[number] = append(o.sent[number], text)
	o.call(number, text, mostCalls)
}

// call sends a configuration to a core, and again elsewhere until the answer is clear.
func (o *Operators) call(number uint64, text []byte, calls int) {
	if calls == 0 {
		return
	}
	clear := false
	again := func() {
		if !clear {
			clear = true
			o.call(number, text, calls-1)
		}
	}
	o.r.after(silence, again)
	c := o.core()
	if c == nil {
		o.r.after(o.r.some(100*time.Millisecond), again)
		return
	}
	order := consensus.Command{Kind: consensus.CommandPutConfiguration, Generation: number, Payload: text, Submitted: text}
	o.r.order(c, order, func(a consensus.CommandResult) {
		o.hear(number, text, a)
		switch {
		case o.r.rng.Float64() < answerLoss:
		case a.Outcome == consensus.OutcomeCommitted || a.Outcome == consensus.OutcomeConflict:
			clear = true
		default:
			o.r.after(o.r.some(100*time.Millisecond), again)
		}
	})
}

// hear checks an answer to a configuration.
func (o *Operators) hear(number uint64, text []byte, a consensus.CommandResult) {
	switch a.Outcome {
	case consensus.OutcomeCommitted:
		o.Acked++
		o.acked[number] = append(o.acked[number], text)
		o.r.check(a.State, "an operator")
		o.r.acked = max(o.r.acked, a.State.Revision)
		o.r.generation = max(o.r.generation, number)
		if a.State.Generation < number {
			o.r.broken("number %d was acknowledged while %d was held", number, a.State.Generation)
		}
	case consensus.OutcomeConflict:
		o.Conflicts++
		o.refused[number] = append(o.refused[number], text)
		o.settled(a.State)
	case consensus.OutcomeRejected, consensus.OutcomeUnknown:
	default:
		o.r.broken("a valid configuration got %q", a.Outcome)
	}
	if has(o.acked[number], text) && has(o.refused[number], text) {
		o.r.broken("%q was acknowledged and refused", text)
	}
	o.judge(number)
}

func has(texts [][]byte, text []byte) bool {
	return slices.ContainsFunc(texts, func(t []byte) bool { return bytes.Equal(t, text) })
}

// settled takes note of a settled word.
func (o *Operators) settled(state config.ControlState) {
	for _, t := range state.AcceptedGenerations {
		if old, ok := o.taken[t.Generation]; ok && !bytes.Equal(old, t.Digest) {
			o.r.broken("two configurations were taken under %d", t.Generation)
		}
		if _, ok := o.taken[t.Generation]; !ok {
			o.taken[t.Generation] = t.Digest
			o.judge(t.Generation)
		}
	}
	if state.Submitted != nil {
		if d, ok := o.taken[state.Generation]; !ok || !bytes.Equal(d, config.SubmissionDigest(state.Submitted, nil)) {
			o.r.broken("%q is in force under %d, and another is on record", state.Submitted, state.Generation)
		}
	}
	o.emptied[state.Revision] = state.EvacuatedByOperator
}

// judge checks a number that was taken: nothing but that configuration is acknowledged
// under it, and that one is never refused.
func (o *Operators) judge(number uint64) {
	digest, ok := o.taken[number]
	if !ok {
		return
	}
	for _, text := range o.acked[number] {
		if !bytes.Equal(digest, config.SubmissionDigest(text, nil)) {
			o.r.broken("%q was acknowledged, and another was taken under %d", text, number)
		}
	}
	for _, text := range o.refused[number] {
		if bytes.Equal(digest, config.SubmissionDigest(text, nil)) {
			o.r.broken("%q was refused, and it was taken", text)
		}
	}
}

// end checks what can only be told once all is known.
func (o *Operators) end() {
	for number, texts := range o.refused {
		if _, ok := o.taken[number]; !ok {
			o.r.broken("%q was refused, and nothing was taken under %d", texts[0], number)
		}
	}
	for _, zone := range zones {
		o.unchanged(zone)
	}
}

// evacuate orders the opposite of what was ordered on a zone last, once that was acknowledged, or
// given up after a while; and goes on.
func (o *Operators) evacuate(zone string, until time.Duration) {
	o.unchanged(zone)
	if o.r.now >= until {
		return
	}
	last := o.evacuations[zone]
	e := evacuation{zone: zone, number: last.number + 1, empty: !last.empty}
	o.evacuations[zone] = e
	o.evacuateAt(e, mostCalls, func() {
		o.r.after(o.r.some(time.Second), func() { o.evacuate(zone, until) })
	})
}

// evacuateAt sends the order to a core, and again elsewhere until it is acknowledged.
// The core asks a majority for the newest stamp and passes the order on to some other.
func (o *Operators) evacuateAt(e evacuation, calls int, done func()) {
	if calls == 0 {
		done()
		return
	}
	gone := false
	again := func() {
		if !gone {
			gone = true
			o.evacuateAt(e, calls-1, done)
		}
	}
	o.r.after(silence, again)
	c := o.core()
	if c == nil {
		o.r.after(o.r.some(100*time.Millisecond), again)
		return
	}
	order := consensus.Command{Kind: consensus.CommandEvacuate, Zone: e.zone}
	if !e.empty {
		order.Kind = consensus.CommandRevokeEvacuation
	}
	o.r.newest(c, func(stamp uint64) {
		if gone {
			return // the core sees that its caller has gone
		}
		order.SinceRevision = &stamp
		forward := o.r.some(50 * time.Millisecond)
		if o.r.rng.IntN(2) == 0 {
			forward = o.r.some(lateForward)
		}
		o.r.after(forward, func() {
			to := o.core()
			if to == nil {
				return
			}
			o.r.order(to, order, func(a consensus.CommandResult) {
				if o.r.rng.Float64() < answerLoss || gone {
					o.heard(e, a, false)
					return
				}
				o.heard(e, a, true)
				if gone = a.Outcome == consensus.OutcomeCommitted; gone {
					done()
				}
			})
		})
	})
}

// heard checks an answer to an order on a zone.
func (o *Operators) heard(e evacuation, a consensus.CommandResult, byOperator bool) {
	switch a.Outcome {
	case consensus.OutcomeCommitted:
		o.r.check(a.State, "an operator")
	case consensus.OutcomeSuperseded:
		o.Overtaken++
	case consensus.OutcomeRejected, consensus.OutcomeUnknown:
	default:
		o.r.broken("an order on a locality got %q", a.Outcome)
	}
	if byOperator && a.Outcome == consensus.OutcomeCommitted && e.number == o.evacuations[e.zone].number {
		o.Evacuations++
		e.acked, e.stamp = true, a.State.Revision
		o.evacuations[e.zone] = e
	}
}

// unchanged checks, before the operator orders anything else on a zone, that what was
// acknowledged last stands.
func (o *Operators) unchanged(zone string) {
	e := o.evacuations[zone]
	if !e.acked {
		return
	}
	for stamp, emptied := range o.emptied {
		if stamp >= e.stamp && slices.Contains(emptied, zone) != e.empty {
			o.r.broken("%v are emptied under stamp %d, and for %s %v was acknowledged with %d", emptied, stamp, zone, e.empty, e.stamp)
		}
	}
}

// newest asks a majority for the newest settled stamp, as a core does for an order that
// comes to it.
func (r *Register) newest(c *core, got func(stamp uint64)) {
	votes, done := map[int]consensus.Reply{}, false
	own := c.acceptor.MemberSets()
	r.spread(c, consensus.Message{Sender: c.acceptor.Self, Type: consensus.MsgReadIndex}, false, votes, func(consensus.Reply) {
		counted := consensus.CurrentReplies(votes)
		if done || !consensus.HasReadQuorum(counted, own) {
			return
		}
		done = true
		if top, held := consensus.NewestState(counted, own); held {
			got(top.Position.Revision)
		} else if c.acceptor.Phase == consensus.PhaseEstablished {
			r.order(c, consensus.Command{Kind: consensus.CommandRefresh}, func(a consensus.CommandResult) {
				if a.Outcome == consensus.OutcomeCommitted {
					got(a.State.Revision)
				}
			})
		}
	})
}

// add sums up what went on.
func (o *Operators) add(other *Operators) {
	o.Acked, o.Repeats, o.Conflicts = o.Acked+other.Acked, o.Repeats+other.Repeats, o.Conflicts+other.Conflicts
	o.Evacuations, o.Overtaken = o.Evacuations+other.Evacuations, o.Overtaken+other.Overtaken
}

// idle tells whether any of what is to be tried did not come about.
func (o Operators) idle() bool {
	return o.Acked == 0 || o.Repeats == 0 || o.Conflicts == 0 || o.Evacuations == 0 || o.Overtaken == 0
}

// String implements fmt.Stringer.
func (o Operators) String() string {
	return fmt.Sprintf("%d configurations acknowledged, %d refused, %d repeated long after, %d orders on a locality acknowledged, %d copies overtaken",
		o.Acked, o.Conflicts, o.Repeats, o.Evacuations, o.Overtaken)
}
