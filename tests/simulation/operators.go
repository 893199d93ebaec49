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
	operators       = 2
	callInterval    = 500 * time.Millisecond  // about how often each operator orders something
	responseTimeout = 2500 * time.Millisecond // after which an operator calls elsewhere
	maxCalls        = 5                       // of one order
	answerLossRate  = 0.3
	// maxForwardDelay is how long an order may be on its way to the core on duty at worst.
	maxForwardDelay = 8 * time.Second
)

// zones are the zones that are emptied and taken back, each in turn.
var zones = []string{"east", "north", "south", "west"}

// Operators are two that number their configurations from one sequence, at times alike,
// lose answers and repeat their orders at other cores, while zones are emptied and
// taken back in turn. (DESIGN 6.3)
type Operators struct {
	simulation *Consensus
	numbers    []uint64 // that were used
	// sent are the configurations that were sent under a number; acked and refused those
	// that any core acknowledged or refused, heard by the operator or not; taken the digest
	// that a settled word has on record.
	sent           map[uint64][][]byte
	acked, refused map[uint64][][]byte
	committed      map[uint64][]byte
	evacuatedAt    map[uint64][]string   // by settled stamp
	evacuations    map[string]evacuation // the newest order on each zone
	// Repeats, Conflicts, Evacuations and Overtaken count what went on.
	Acked, Repeats, Conflicts, Evacuations, Superseded int
}

// evacuation is an order on a zone.
type evacuation struct {
	zone     string
	number   int
	empty    bool
	acked    bool
	revision uint64 // of its acknowledgement
}

func newOperators(sim *Consensus) *Operators {
	return &Operators{simulation: sim, sent: map[uint64][][]byte{}, acked: map[uint64][][]byte{}, refused: map[uint64][][]byte{}, committed: map[uint64][]byte{}, evacuatedAt: map[uint64][]string{}, evacuations: map[string]evacuation{}}
}

// run has the operators work until the faults stop.
func (o *Operators) run(until time.Duration) {
	for n := range operators {
		o.simulation.repeat(callInterval, until, func() { o.configure(n) })
	}
	for _, zone := range zones {
		o.simulation.after(o.simulation.randomDuration(time.Second), func() { o.evacuate(zone, until) })
	}
}

// randomReplica is one that an operator might reach.
func (o *Operators) randomReplica() *replica {
	r := o.simulation.randomReplica()
	if !r.up || r.frozenUntil > o.simulation.now || r.acceptor.Phase != consensus.PhaseEstablished {
		return nil
	}
	return r
}

// configure sends a configuration under a new number, one used of late by anybody, or
// the same as once before.
func (o *Operators) configure(operator int) {
	rng := o.simulation.rng
	if len(o.numbers) > 0 && rng.IntN(4) == 0 {
		number := o.numbers[len(o.numbers)-1-rng.IntN(min(len(o.numbers), 20))]
		o.Repeats++
		o.submit(number, o.sent[number][rng.IntN(len(o.sent[number]))], maxCalls)
		return
	}
	number := o.simulation.highestGeneration + 1 + rng.Uint64N(3)
	if len(o.numbers) > 0 && rng.IntN(2) == 0 {
		number = o.numbers[len(o.numbers)-1]
	}
	o.simulation.highestGeneration = max(o.simulation.highestGeneration, number)
	text := fmt.Appendf(nil, "operator %d at %v under %d", operator, o.simulation.now, number)
	o.numbers = append(o.numbers, number)
	o.sent[number] = append(o.sent[number], text)
	o.submit(number, text, maxCalls)
}

// submit sends a configuration to a core, and again elsewhere until the answer is clear.
func (o *Operators) submit(number uint64, text []byte, calls int) {
	if calls == 0 {
		return
	}
	settled := false
	again := func() {
		if !settled {
			settled = true
			o.submit(number, text, calls-1)
		}
	}
	o.simulation.after(responseTimeout, again)
	r := o.randomReplica()
	if r == nil {
		o.simulation.after(o.simulation.randomDuration(100*time.Millisecond), again)
		return
	}
	command := consensus.Command{Kind: consensus.CommandPutConfiguration, Generation: number, Payload: text, Submitted: text}
	o.simulation.submit(r, command, func(result consensus.CommandResult) {
		o.receiveResult(number, text, result)
		switch {
		case o.simulation.rng.Float64() < answerLossRate:
		case result.Outcome == consensus.OutcomeCommitted || result.Outcome == consensus.OutcomeConflict:
			settled = true
		default:
			o.simulation.after(o.simulation.randomDuration(100*time.Millisecond), again)
		}
	})
}

// receiveResult checks an answer to a configuration.
func (o *Operators) receiveResult(number uint64, text []byte, result consensus.CommandResult) {
	switch result.Outcome {
	case consensus.OutcomeCommitted:
		o.Acked++
		o.acked[number] = append(o.acked[number], text)
		o.simulation.checkState(result.State, "an operator")
		o.simulation.ackedRevision = max(o.simulation.ackedRevision, result.State.Revision)
		o.simulation.ackedGeneration = max(o.simulation.ackedGeneration, number)
		if result.State.Generation < number {
			o.simulation.violation("number %d was acknowledged while %d was held", number, result.State.Generation)
		}
	case consensus.OutcomeConflict:
		o.Conflicts++
		o.refused[number] = append(o.refused[number], text)
		o.recordCommitted(result.State)
	case consensus.OutcomeRejected, consensus.OutcomeUnknown:
	default:
		o.simulation.violation("a valid configuration got %q", result.Outcome)
	}
	if contains(o.acked[number], text) && contains(o.refused[number], text) {
		o.simulation.violation("%q was acknowledged and refused", text)
	}
	o.checkNumber(number)
}

func contains(texts [][]byte, text []byte) bool {
	return slices.ContainsFunc(texts, func(t []byte) bool { return bytes.Equal(t, text) })
}

// recordCommitted takes note of a settled word.
func (o *Operators) recordCommitted(state config.ControlState) {
	for _, accepted := range state.AcceptedGenerations {
		if old, ok := o.committed[accepted.Generation]; ok && !bytes.Equal(old, accepted.Digest) {
			o.simulation.violation("two configurations were taken under %d", accepted.Generation)
		}
		if _, ok := o.committed[accepted.Generation]; !ok {
			o.committed[accepted.Generation] = accepted.Digest
			o.checkNumber(accepted.Generation)
		}
	}
	if state.Submitted != nil {
		if digest, ok := o.committed[state.Generation]; !ok || !bytes.Equal(digest, config.SubmissionDigest(state.Submitted, nil)) {
			o.simulation.violation("%q is in force under %d, and another is on record", state.Submitted, state.Generation)
		}
	}
	o.evacuatedAt[state.Revision] = state.EvacuatedByOperator
}

// checkNumber checks a number that was taken: nothing but that configuration is acknowledged
// under it, and that one is never refused.
func (o *Operators) checkNumber(number uint64) {
	digest, ok := o.committed[number]
	if !ok {
		return
	}
	for _, text := range o.acked[number] {
		if !bytes.Equal(digest, config.SubmissionDigest(text, nil)) {
			o.simulation.violation("%q was acknowledged, and another was taken under %d", text, number)
		}
	}
	for _, text := range o.refused[number] {
		if bytes.Equal(digest, config.SubmissionDigest(text, nil)) {
			o.simulation.violation("%q was refused, and it was taken", text)
		}
	}
}

// checkFinal checks what can only be told once all is known.
func (o *Operators) checkFinal() {
	for number, texts := range o.refused {
		if _, ok := o.committed[number]; !ok {
			o.simulation.violation("%q was refused, and nothing was taken under %d", texts[0], number)
		}
	}
	for _, zone := range zones {
		o.checkEvacuation(zone)
	}
}

// evacuate orders the opposite of what was ordered on a zone last, once that was acknowledged, or
// given up after a while; and goes on.
func (o *Operators) evacuate(zone string, until time.Duration) {
	o.checkEvacuation(zone)
	if o.simulation.now >= until {
		return
	}
	last := o.evacuations[zone]
	e := evacuation{zone: zone, number: last.number + 1, empty: !last.empty}
	o.evacuations[zone] = e
	o.submitEvacuation(e, maxCalls, func() {
		o.simulation.after(o.simulation.randomDuration(time.Second), func() { o.evacuate(zone, until) })
	})
}

// submitEvacuation sends the order to a core, and again elsewhere until it is acknowledged.
// The core asks a majority for the newest stamp and passes the order on to some other.
func (o *Operators) submitEvacuation(e evacuation, calls int, done func()) {
	if calls == 0 {
		done()
		return
	}
	finished := false
	again := func() {
		if !finished {
			finished = true
			o.submitEvacuation(e, calls-1, done)
		}
	}
	o.simulation.after(responseTimeout, again)
	r := o.randomReplica()
	if r == nil {
		o.simulation.after(o.simulation.randomDuration(100*time.Millisecond), again)
		return
	}
	command := consensus.Command{Kind: consensus.CommandEvacuate, Zone: e.zone}
	if !e.empty {
		command.Kind = consensus.CommandRevokeEvacuation
	}
	o.simulation.readIndex(r, func(revision uint64) {
		if finished {
			return // the core sees that its caller has gone
		}
		command.SinceRevision = &revision
		forward := o.simulation.randomDuration(50 * time.Millisecond)
		if o.simulation.rng.IntN(2) == 0 {
			forward = o.simulation.randomDuration(maxForwardDelay)
		}
		o.simulation.after(forward, func() {
			target := o.randomReplica()
			if target == nil {
				return
			}
			o.simulation.submit(target, command, func(result consensus.CommandResult) {
				if o.simulation.rng.Float64() < answerLossRate || finished {
					o.receiveEvacuationResult(e, result, false)
					return
				}
				o.receiveEvacuationResult(e, result, true)
				if finished = result.Outcome == consensus.OutcomeCommitted; finished {
					done()
				}
			})
		})
	})
}

// receiveEvacuationResult checks an answer to an order on a zone.
func (o *Operators) receiveEvacuationResult(order evacuation, result consensus.CommandResult, byOperator bool) {
	switch result.Outcome {
	case consensus.OutcomeCommitted:
		o.simulation.checkState(result.State, "an operator")
	case consensus.OutcomeSuperseded:
		o.Superseded++
	case consensus.OutcomeRejected, consensus.OutcomeUnknown:
	default:
		o.simulation.violation("an order on a locality got %q", result.Outcome)
	}
	if byOperator && result.Outcome == consensus.OutcomeCommitted && order.number == o.evacuations[order.zone].number {
		o.Evacuations++
		order.acked, order.revision = true, result.State.Revision
		o.evacuations[order.zone] = order
	}
}

// checkEvacuation checks, before the operator orders anything else on a zone, that what was
// acknowledged last stands.
func (o *Operators) checkEvacuation(zone string) {
	e := o.evacuations[zone]
	if !e.acked {
		return
	}
	for revision, evacuated := range o.evacuatedAt {
		if revision >= e.revision && slices.Contains(evacuated, zone) != e.empty {
			o.simulation.violation("%v are emptied under stamp %d, and for %s %v was acknowledged with %d", evacuated, revision, zone, e.empty, e.revision)
		}
	}
}

// readIndex asks a majority for the newest settled stamp, as a core does for an order that
// comes to it.
func (sim *Consensus) readIndex(r *replica, receive func(stamp uint64)) {
	replies, done := map[int]consensus.Reply{}, false
	own := r.acceptor.MemberSets()
	sim.broadcast(r, consensus.Message{Sender: r.acceptor.Self, Type: consensus.MsgReadIndex}, false, replies, func(consensus.Reply) {
		counted := consensus.CurrentReplies(replies)
		if done || !consensus.HasReadQuorum(counted, own) {
			return
		}
		done = true
		if newest, committed := consensus.NewestState(counted, own); committed {
			receive(newest.Position.Revision)
		} else if r.acceptor.Phase == consensus.PhaseEstablished {
			sim.submit(r, consensus.Command{Kind: consensus.CommandRefresh}, func(result consensus.CommandResult) {
				if result.Outcome == consensus.OutcomeCommitted {
					receive(result.State.Revision)
				}
			})
		}
	})
}

// add sums up what went on.
func (o *Operators) add(other *Operators) {
	o.Acked, o.Repeats, o.Conflicts = o.Acked+other.Acked, o.Repeats+other.Repeats, o.Conflicts+other.Conflicts
	o.Evacuations, o.Superseded = o.Evacuations+other.Evacuations, o.Superseded+other.Superseded
}

// incomplete tells whether any of what is to be tried did not come about.
func (o Operators) incomplete() bool {
	return o.Acked == 0 || o.Repeats == 0 || o.Conflicts == 0 || o.Evacuations == 0 || o.Superseded == 0
}

// String implements fmt.Stringer.
func (o Operators) String() string {
	return fmt.Sprintf("%d configurations acknowledged, %d refused, %d repeated long after, %d orders on a locality acknowledged, %d copies overtaken",
		o.Acked, o.Conflicts, o.Repeats, o.Evacuations, o.Superseded)
}
