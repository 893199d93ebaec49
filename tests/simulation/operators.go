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
	// callInterval is the mean interval between the submissions of an operator.
	callInterval = 500 * time.Millisecond
	// responseTimeout is how long an operator waits before it tries another replica.
	responseTimeout = 2500 * time.Millisecond
	// maxCalls is the maximum number of times that a command is submitted.
	maxCalls = 5
	// answerLossRate is the probability that an answer to an operator is lost.
	answerLossRate = 0.3
	// maxForwardDelay is the maximum delay of a command that is forwarded to another replica.
	maxForwardDelay = 8 * time.Second
)

// zones are the zones that operators alternately evacuate and restore.
var zones = []string{"east", "north", "south", "west"}

// Operators simulates two operators that take the generations of their configurations from one
// sequence and sometimes use the same generation. Some answers to the operators are lost, and
// the operators repeat commands at other replicas. Zones are evacuated and restored at the same
// time. (DESIGN 6.3)
type Operators struct {
	simulation  *Consensus
	generations []uint64 // the generations that were used, in order of use
	// sent are the configurations that were sent with each generation. acked and refused are
	// those that a replica acknowledged or refused, whether or not the operator got the
	// answer. committed is the digest that the committed state records for each generation.
	sent           map[uint64][][]byte
	acked, refused map[uint64][][]byte
	committed      map[uint64][]byte
	evacuatedAt    map[uint64][]string   // the evacuated zones of each committed revision
	evacuations    map[string]evacuation // the newest command on each zone
	// Acked and Conflicts count configurations that were acknowledged or refused, Repeats
	// those that were sent again later. Evacuations counts acknowledged commands on zones,
	// Superseded commands on zones that a newer one had superseded.
	Acked, Repeats, Conflicts, Evacuations, Superseded int
}

// evacuation is a command to evacuate or restore a zone.
type evacuation struct {
	zone     string
	number   int  // position in the sequence of commands on the zone
	evacuate bool // false to restore the zone
	acked    bool
	revision uint64 // the revision of the acknowledgement
}

// newOperators returns the operators of a simulation.
func newOperators(sim *Consensus) *Operators {
	return &Operators{simulation: sim, sent: map[uint64][][]byte{}, acked: map[uint64][][]byte{}, refused: map[uint64][][]byte{}, committed: map[uint64][]byte{}, evacuatedAt: map[uint64][]string{}, evacuations: map[string]evacuation{}}
}

// run schedules the operators' submissions until the time until.
func (o *Operators) run(until time.Duration) {
	for n := range operatorCount {
		o.simulation.repeat(callInterval, until, func() { o.configure(n) })
	}
	for _, zone := range zones {
		o.simulation.after(o.simulation.randomDuration(time.Second), func() { o.evacuate(zone, until) })
	}
}

// randomReplica draws a replica. It returns nil if an operator cannot reach that replica.
func (o *Operators) randomReplica() *replica {
	r := o.simulation.randomReplica()
	if !r.up || r.pausedUntil > o.simulation.now || r.acceptor.Phase != consensus.PhaseEstablished {
		return nil
	}
	return r
}

// configure submits a configuration with a new generation or the one used last, or repeats one of
// the last 20 configurations.
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

// submit sends a configuration to a replica. It retries at other replicas until the operator gets a
// final answer, with calls attempts in all.
func (o *Operators) submit(number uint64, text []byte, calls int) {
	if calls == 0 {
		return
	}
	final := false
	retry := func() {
		if !final {
			final = true
			o.submit(number, text, calls-1)
		}
	}
	o.simulation.after(responseTimeout, retry)
	r := o.randomReplica()
	if r == nil {
		o.simulation.after(o.simulation.randomDuration(100*time.Millisecond), retry)
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
			o.simulation.after(o.simulation.randomDuration(100*time.Millisecond), retry)
		}
	})
}

// receiveResult records and checks the result of a submitted configuration.
func (o *Operators) receiveResult(number uint64, text []byte, result consensus.CommandResult) {
	switch result.Outcome {
	case consensus.OutcomeCommitted:
		o.Acked++
		o.acked[number] = append(o.acked[number], text)
		o.simulation.checkState(result.State, "an operator")
		o.simulation.ackedRevision = max(o.simulation.ackedRevision, result.State.Revision)
		o.simulation.ackedGeneration = max(o.simulation.ackedGeneration, number)
		if result.State.Generation < number {
			o.simulation.violation("generation %d was acknowledged at lower generation %d", number, result.State.Generation)
		}
	case consensus.OutcomeConflict:
		o.Conflicts++
		o.refused[number] = append(o.refused[number], text)
		o.recordCommitted(result.State)
	case consensus.OutcomeRejected, consensus.OutcomeUnknown:
	default:
		o.simulation.violation("a valid configuration got outcome %q", result.Outcome)
	}
	if contains(o.acked[number], text) && contains(o.refused[number], text) {
		o.simulation.violation("%q was both acknowledged and refused", text)
	}
	o.checkGeneration(number)
}

// contains reports whether texts contains text.
func contains(texts [][]byte, text []byte) bool {
	return slices.ContainsFunc(texts, func(t []byte) bool { return bytes.Equal(t, text) })
}

// recordCommitted checks and records the generations and the evacuated zones of a committed state.
func (o *Operators) recordCommitted(state config.ControlState) {
	for _, accepted := range state.AcceptedGenerations {
		if old, ok := o.committed[accepted.Generation]; ok && !bytes.Equal(old, accepted.Digest) {
			o.simulation.violation("two configurations were committed with generation %d", accepted.Generation)
		}
		if _, ok := o.committed[accepted.Generation]; !ok {
			o.committed[accepted.Generation] = accepted.Digest
			o.checkGeneration(accepted.Generation)
		}
	}
	if state.Submitted != nil {
		if digest, ok := o.committed[state.Generation]; !ok || !bytes.Equal(digest, config.SubmissionDigest(state.Submitted, nil)) {
			o.simulation.violation("%q is committed with generation %d, whose recorded digest is of another configuration", state.Submitted, state.Generation)
		}
	}
	o.evacuatedAt[state.Revision] = state.EvacuatedByOperator
}

// checkGeneration checks a committed generation: no other configuration was acknowledged with that
// generation, and the committed configuration was never refused.
func (o *Operators) checkGeneration(number uint64) {
	digest, ok := o.committed[number]
	if !ok {
		return
	}
	for _, text := range o.acked[number] {
		if !bytes.Equal(digest, config.SubmissionDigest(text, nil)) {
			o.simulation.violation("%q was acknowledged, but another configuration was committed with generation %d", text, number)
		}
	}
	for _, text := range o.refused[number] {
		if bytes.Equal(digest, config.SubmissionDigest(text, nil)) {
			o.simulation.violation("%q was refused, but it was committed", text)
		}
	}
}

// checkFinal makes the checks that are possible only after the simulation: each refused generation
// was committed, and the last acknowledged command on each zone is in effect.
func (o *Operators) checkFinal() {
	for number, texts := range o.refused {
		if _, ok := o.committed[number]; !ok {
			o.simulation.violation("%q was refused, but nothing was committed with generation %d", texts[0], number)
		}
	}
	for _, zone := range zones {
		o.checkEvacuation(zone)
	}
}

// evacuate evacuates a zone, or restores the zone if the last command evacuated it. The next command
// follows once this one is acknowledged or its attempts are used up, until the time until.
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

// submitEvacuation sends a command on a zone to a replica, and retries at other replicas until the
// command is acknowledged. The replica does a read index and forwards the command to another
// replica.
func (o *Operators) submitEvacuation(e evacuation, calls int, done func()) {
	if calls == 0 {
		done()
		return
	}
	finished := false
	retry := func() {
		if !finished {
			finished = true
			o.submitEvacuation(e, calls-1, done)
		}
	}
	o.simulation.after(responseTimeout, retry)
	r := o.randomReplica()
	if r == nil {
		o.simulation.after(o.simulation.randomDuration(100*time.Millisecond), retry)
		return
	}
	command := consensus.Command{Kind: consensus.CommandEvacuate, Zone: e.zone}
	if !e.evacuate {
		command.Kind = consensus.CommandRevokeEvacuation
	}
	o.simulation.quorumRead(r, consensus.MsgReadIndex, func(revision uint64, _ config.ControlState) {
		if finished {
			return // the replica notices that the operator has closed the connection
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

// forward submits a command at a random replica after a delay. The command is lost if that replica
// cannot be reached.
func (o *Operators) forward(command consensus.Command, done func(consensus.CommandResult)) {
	o.simulation.after(o.forwardDelay(), func() {
		if target := o.randomReplica(); target != nil {
			o.simulation.submit(target, command, done)
		}
	})
}

// forwardDelay draws the delay of a forwarded command. Half of the commands take up to
// maxForwardDelay.
func (o *Operators) forwardDelay() time.Duration {
	delay := o.simulation.randomDuration(50 * time.Millisecond)
	if o.simulation.rng.IntN(2) == 0 {
		delay = o.simulation.randomDuration(maxForwardDelay)
	}
	return delay
}

// receiveEvacuationResult records and checks the result of a command on a zone. byOperator reports
// whether the operator received the result.
func (o *Operators) receiveEvacuationResult(order evacuation, result consensus.CommandResult, byOperator bool) {
	switch result.Outcome {
	case consensus.OutcomeCommitted:
		o.simulation.checkState(result.State, "an operator")
	case consensus.OutcomeSuperseded:
		o.Superseded++
	case consensus.OutcomeRejected, consensus.OutcomeUnknown:
	default:
		o.simulation.violation("a command on a zone got outcome %q", result.Outcome)
	}
	if byOperator && result.Outcome == consensus.OutcomeCommitted && order.number == o.evacuations[order.zone].number {
		o.Evacuations++
		order.acked, order.revision = true, result.State.Revision
		o.evacuations[order.zone] = order
	}
}

// checkEvacuation checks that no revision since the acknowledgement of the newest command on a zone
// undoes the command. It is called before the next command on that zone and at the end.
func (o *Operators) checkEvacuation(zone string) {
	e := o.evacuations[zone]
	if !e.acked {
		return
	}
	for revision, evacuated := range o.evacuatedAt {
		if revision >= e.revision && slices.Contains(evacuated, zone) != e.evacuate {
			o.simulation.violation("zones %v are evacuated at revision %d, but for %s evacuated=%v was acknowledged at revision %d", evacuated, revision, zone, e.evacuate, e.revision)
		}
	}
}

// add adds the counts of another simulation.
func (o *Operators) add(other *Operators) {
	o.Acked, o.Repeats, o.Conflicts = o.Acked+other.Acked, o.Repeats+other.Repeats, o.Conflicts+other.Conflicts
	o.Evacuations, o.Superseded = o.Evacuations+other.Evacuations, o.Superseded+other.Superseded
}

// incomplete reports whether one of the counts is zero, so that a case was not exercised.
func (o Operators) incomplete() bool {
	return o.Acked == 0 || o.Repeats == 0 || o.Conflicts == 0 || o.Evacuations == 0 || o.Superseded == 0
}

// String returns the counts in one line.
func (o Operators) String() string {
	return fmt.Sprintf("%d configurations acknowledged, %d refused, %d repeated later, %d commands on zones acknowledged, %d copies superseded",
		o.Acked, o.Conflicts, o.Repeats, o.Evacuations, o.Superseded)
}
