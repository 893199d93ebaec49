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
	operators = 2
	// callInterval is about how often each operator submits something.
	callInterval = 500 * time.Millisecond
	// responseTimeout is after how long an operator tries another replica.
	responseTimeout = 2500 * time.Millisecond
	// maxCalls bounds how often one command is submitted.
	maxCalls = 5
	// answerLossRate is the share of answers that operators do not get.
	answerLossRate = 0.3
	// maxForwardDelay is the longest that a command is on its way to the coordinator.
	maxForwardDelay = 8 * time.Second
)

// zones are evacuated and restored, each by turns.
var zones = []string{"east", "north", "south", "west"}

// Operators are two operators that take the generations of their configurations from one
// sequence, sometimes the same one, lose answers and repeat commands at other replicas, while
// zones are evacuated and restored. (DESIGN 6.3)
type Operators struct {
	simulation  *Consensus
	generations []uint64 // that were used, in order
	// sent are the configurations that were sent under a generation; acked and refused
	// those that any replica acknowledged or refused, whether the operator got the answer
	// or not; committed is the digest that the committed state has on record.
	sent           map[uint64][][]byte
	acked, refused map[uint64][][]byte
	committed      map[uint64][]byte
	evacuatedAt    map[uint64][]string   // the evacuated zones, by committed revision
	evacuations    map[string]evacuation // the newest command on each zone
	// Acked and the others count what happened.
	Acked, Repeats, Conflicts, Evacuations, Superseded int
}

// evacuation is a command on a zone.
type evacuation struct {
	zone     string
	number   int  // counts the commands on the zone
	evacuate bool // else it restores the zone
	acked    bool
	revision uint64 // of its acknowledgement
}

// newOperators makes the operators of a run.
func newOperators(sim *Consensus) *Operators {
	return &Operators{simulation: sim, sent: map[uint64][][]byte{}, acked: map[uint64][][]byte{}, refused: map[uint64][][]byte{}, committed: map[uint64][]byte{}, evacuatedAt: map[uint64][]string{}, evacuations: map[string]evacuation{}}
}

// run has the operators work until a moment.
func (o *Operators) run(until time.Duration) {
	for n := range operators {
		o.simulation.repeat(callInterval, until, func() { o.configure(n) })
	}
	for _, zone := range zones {
		o.simulation.after(o.simulation.randomDuration(time.Second), func() { o.evacuate(zone, until) })
	}
}

// randomReplica draws a replica that an operator can reach, or returns nil.
func (o *Operators) randomReplica() *replica {
	r := o.simulation.randomReplica()
	if !r.up || r.frozenUntil > o.simulation.now || r.acceptor.Phase != consensus.PhaseEstablished {
		return nil
	}
	return r
}

// configure sends a configuration under a new generation, under one that was used lately, or
// repeats an earlier one.
func (o *Operators) configure(operator int) {
	rng := o.simulation.rng
	if len(o.generations) > 0 && rng.IntN(4) == 0 {
		number := o.generations[len(o.generations)-1-rng.IntN(min(len(o.generations), 20))]
		o.Repeats++
		o.submit(number, o.sent[number][rng.IntN(len(o.sent[number]))], maxCalls)
		return
	}
	number := o.simulation.highestGeneration + 1 + rng.Uint64N(3)
	if len(o.generations) > 0 && rng.IntN(2) == 0 {
		number = o.generations[len(o.generations)-1]
	}
	o.simulation.highestGeneration = max(o.simulation.highestGeneration, number)
	text := fmt.Appendf(nil, "operator %d at %v under %d", operator, o.simulation.now, number)
	o.generations = append(o.generations, number)
	o.sent[number] = append(o.sent[number], text)
	o.submit(number, text, maxCalls)
}

// submit sends a configuration to a replica, and to others until the answer is final.
func (o *Operators) submit(number uint64, text []byte, calls int) {
	if calls == 0 {
		return
	}
	final := false
	again := func() {
		if !final {
			final = true
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
			final = true
		default:
			o.simulation.after(o.simulation.randomDuration(100*time.Millisecond), again)
		}
	})
}

// receiveResult checks the result of a configuration.
func (o *Operators) receiveResult(number uint64, text []byte, result consensus.CommandResult) {
	switch result.Outcome {
	case consensus.OutcomeCommitted:
		o.Acked++
		o.acked[number] = append(o.acked[number], text)
		o.simulation.checkState(result.State, "an operator")
		o.simulation.ackedRevision = max(o.simulation.ackedRevision, result.State.Revision)
		o.simulation.ackedGeneration = max(o.simulation.ackedGeneration, number)
		if result.State.Generation < number {
			o.simulation.violation("generation %d was acknowledged while %d was in force", number, result.State.Generation)
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
	o.checkGeneration(number)
}

// contains reports whether a text is among texts.
func contains(texts [][]byte, text []byte) bool {
	return slices.ContainsFunc(texts, func(t []byte) bool { return bytes.Equal(t, text) })
}

// recordCommitted checks and records a committed state.
func (o *Operators) recordCommitted(state config.ControlState) {
	for _, accepted := range state.AcceptedGenerations {
		if old, ok := o.committed[accepted.Generation]; ok && !bytes.Equal(old, accepted.Digest) {
			o.simulation.violation("two configurations were committed under %d", accepted.Generation)
		}
		if _, ok := o.committed[accepted.Generation]; !ok {
			o.committed[accepted.Generation] = accepted.Digest
			o.checkGeneration(accepted.Generation)
		}
	}
	if state.Submitted != nil {
		if digest, ok := o.committed[state.Generation]; !ok || !bytes.Equal(digest, config.SubmissionDigest(state.Submitted, nil)) {
			o.simulation.violation("%q is in force under %d, and another is on record", state.Submitted, state.Generation)
		}
	}
	o.evacuatedAt[state.Revision] = state.EvacuatedByOperator
}

// checkGeneration checks a generation that was committed: no other configuration is acknowledged
// under it, and its own is never refused.
func (o *Operators) checkGeneration(number uint64) {
	digest, ok := o.committed[number]
	if !ok {
		return
	}
	for _, text := range o.acked[number] {
		if !bytes.Equal(digest, config.SubmissionDigest(text, nil)) {
			o.simulation.violation("%q was acknowledged, and another was committed under %d", text, number)
		}
	}
	for _, text := range o.refused[number] {
		if bytes.Equal(digest, config.SubmissionDigest(text, nil)) {
			o.simulation.violation("%q was refused, and it was committed", text)
		}
	}
}

// checkFinal checks what can only be judged at the end.
func (o *Operators) checkFinal() {
	for number, texts := range o.refused {
		if _, ok := o.committed[number]; !ok {
			o.simulation.violation("%q was refused, and nothing was committed under %d", texts[0], number)
		}
	}
	for _, zone := range zones {
		o.checkEvacuation(zone)
	}
}

// evacuate evacuates a zone, or restores it if it was evacuated last, once the last command
// was acknowledged or given up; and goes on.
func (o *Operators) evacuate(zone string, until time.Duration) {
	o.checkEvacuation(zone)
	if o.simulation.now >= until {
		return
	}
	last := o.evacuations[zone]
	e := evacuation{zone: zone, number: last.number + 1, evacuate: !last.evacuate}
	o.evacuations[zone] = e
	o.submitEvacuation(e, maxCalls, func() {
		o.simulation.after(o.simulation.randomDuration(time.Second), func() { o.evacuate(zone, until) })
	})
}

// submitEvacuation sends the command to a replica, and to others until it is acknowledged. The
// replica does a read index and forwards the command to another replica.
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
	if !e.evacuate {
		command.Kind = consensus.CommandRevokeEvacuation
	}
	o.simulation.quorumRead(r, consensus.MsgReadIndex, func(revision uint64, _ config.ControlState) {
		if finished {
			return // the replica sees that its caller has gone
		}
		command.SinceRevision = &revision
		o.forward(command, func(result consensus.CommandResult) {
			received := o.simulation.rng.Float64() >= answerLossRate && !finished
			o.receiveEvacuationResult(e, result, received)
			if received && result.Outcome == consensus.OutcomeCommitted {
				finished = true
				done()
			}
		})
	})
}

// forward has a command submitted at some replica, after a while.
func (o *Operators) forward(command consensus.Command, done func(consensus.CommandResult)) {
	o.simulation.after(o.forwardDelay(), func() {
		if target := o.randomReplica(); target != nil {
			o.simulation.submit(target, command, done)
		}
	})
}

// forwardDelay draws how long a command is on its way to another replica; half of them are
// late.
func (o *Operators) forwardDelay() time.Duration {
	delay := o.simulation.randomDuration(50 * time.Millisecond)
	if o.simulation.rng.IntN(2) == 0 {
		delay = o.simulation.randomDuration(maxForwardDelay)
	}
	return delay
}

// receiveEvacuationResult checks the result of a command on a zone.
func (o *Operators) receiveEvacuationResult(order evacuation, result consensus.CommandResult, byOperator bool) {
	switch result.Outcome {
	case consensus.OutcomeCommitted:
		o.simulation.checkState(result.State, "an operator")
	case consensus.OutcomeSuperseded:
		o.Superseded++
	case consensus.OutcomeRejected, consensus.OutcomeUnknown:
	default:
		o.simulation.violation("a command on a zone got %q", result.Outcome)
	}
	if byOperator && result.Outcome == consensus.OutcomeCommitted && order.number == o.evacuations[order.zone].number {
		o.Evacuations++
		order.acked, order.revision = true, result.State.Revision
		o.evacuations[order.zone] = order
	}
}

// checkEvacuation checks, before the operator submits another command on a zone, that the last
// one that was acknowledged is still in force.
func (o *Operators) checkEvacuation(zone string) {
	e := o.evacuations[zone]
	if !e.acked {
		return
	}
	for revision, evacuated := range o.evacuatedAt {
		if revision >= e.revision && slices.Contains(evacuated, zone) != e.evacuate {
			o.simulation.violation("%v are evacuated at revision %d, and for %s %v was acknowledged at %d", evacuated, revision, zone, e.evacuate, e.revision)
		}
	}
}

// add adds the counts of another run.
func (o *Operators) add(other *Operators) {
	o.Acked, o.Repeats, o.Conflicts = o.Acked+other.Acked, o.Repeats+other.Repeats, o.Conflicts+other.Conflicts
	o.Evacuations, o.Superseded = o.Evacuations+other.Evacuations, o.Superseded+other.Superseded
}

// incomplete reports whether a run lacked one of the things that it is to try.
func (o Operators) incomplete() bool {
	return o.Acked == 0 || o.Repeats == 0 || o.Conflicts == 0 || o.Evacuations == 0 || o.Superseded == 0
}

// String prints the counts.
func (o Operators) String() string {
	return fmt.Sprintf("%d configurations acknowledged, %d refused, %d repeated long after, %d commands on a zone acknowledged, %d copies superseded",
		o.Acked, o.Conflicts, o.Repeats, o.Evacuations, o.Superseded)
}
