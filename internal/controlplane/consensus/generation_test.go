package consensus

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"curlewwalk/internal/config"
)

// A generation is committed once; one that is no higher changes nothing; a configuration
// without a generation keeps the generation and clears what was submitted.
func TestGenerations(t *testing.T) {
	network := newProposerNetwork(t, 3)
	put := func(memberID int, command Command) config.ControlState {
		t.Helper()
		id := network.submit(memberID, command)
		network.deliverAll()
		return network.expect(id, OutcomeCommitted)
	}
	state := put(1, putGeneration(5, "five"))
	if state.Generation != 5 || string(state.Configuration) != "five" || string(state.Submitted) != "sent five" || state.ConfigurationRevision != state.Revision {
		t.Errorf("%+v", state)
	}
	for n, text := range map[uint64]string{5: "five", 4: "other", 1: "other"} {
		if again := put(1, putGeneration(n, text)); again.Revision != state.Revision || string(again.Configuration) != "five" {
			t.Errorf("generation %d after 5: %+v", n, again)
		}
	}
	other := network.submit(1, putGeneration(5, "other"))
	network.deliverAll()
	network.expect(other, OutcomeConflict)
	revision := state.ConfigurationRevision + 7
	command := putGeneration(5, "five")
	command.IfMatch = &revision
	put(2, command) // repeated at another replica, whatever it is bound to
	command = putGeneration(6, "six")
	command.IfMatch = &revision
	id := network.submit(2, command)
	network.deliverAll()
	network.expect(id, OutcomeMismatch)
	put(2, Command{Kind: CommandEvacuate, Zone: "west"})
	if state = network.newestState(); state.Generation != 5 || string(state.Submitted) != "sent five" {
		t.Errorf("after another command: %+v", state)
	}
	put(3, Command{Kind: CommandPutConfiguration, Payload: []byte("plain"), Submitted: []byte("no")})
	if state = network.newestState(); state.Generation != 5 || state.Submitted != nil || string(state.Configuration) != "plain" {
		t.Errorf("after one without a generation: %+v", state)
	}
	put(1, putGeneration(5, "five"))
	if state = network.newestState(); string(state.Configuration) != "plain" {
		t.Errorf("an old generation came back: %+v", state)
	}
	put(1, putGeneration(6, "six"))
	if state = network.newestState(); state.Generation != 6 || string(state.Configuration) != "six" {
		t.Errorf("%+v", state)
	}
}

// Two proposers race: whichever way their messages interleave, both generations are
// acknowledged, and the higher one is the newest.
func TestGenerationsRace(t *testing.T) {
	for steps := range 64 {
		network := newProposerNetwork(t, 3)
		low, high := network.submit(1, putGeneration(1, "low")), network.submit(2, putGeneration(2, "high"))
		for bit := range 6 {
			network.step(1 + steps>>bit&1)
		}
		for range 4 {
			network.deliverAll()
		}
		network.expect(low, OutcomeCommitted)
		network.expect(high, OutcomeCommitted)
		if state := network.newestState(); state.Generation != 2 || string(state.Configuration) != "high" {
			t.Errorf("steps %b: %+v", steps, state)
		}
	}
}

// A generation whose messages were lost, and which another proposer's state has superseded, is
// proposed again and not left unknown.
func TestGenerationSupersededInFlight(t *testing.T) {
	network := newProposerNetwork(t, 3)
	first := network.submit(1, Command{Kind: CommandEvacuate, Zone: "west"})
	network.deliverAll()
	network.expect(first, OutcomeCommitted)
	superseded := network.submit(1, putGeneration(1, "one"))
	network.sent[1] = nil
	network.proposers[2].FollowAcceptor(network.acceptors[1], network.now)
	other := network.submit(2, Command{Kind: CommandEvacuate, Zone: "east"})
	for network.step(2) {
	}
	network.expect(other, OutcomeCommitted)
	if state := network.newestState(); state.Generation != 0 || state.Revision != 2 {
		t.Errorf("%+v", state)
	}
	network.deliverAll()
	network.expect(superseded, OutcomeCommitted)
	if state := network.newestState(); state.Generation != 1 || len(state.EvacuatedByOperator) != 2 {
		t.Errorf("%+v", state)
	}
}

// Of generations that queue up while one is being written, the highest only is written; all are
// acknowledged, the others once that is committed.
func TestGenerationsQueueUp(t *testing.T) {
	network := newProposerNetwork(t, 3)
	first := network.submit(1, putGeneration(1, "1"))
	for network.step(1) && network.proposed == 0 {
	}
	var ids []uint64
	for _, n := range []uint64{3, 2, 30, 4, 29} { // while the first is proposed
		ids = append(ids, network.submit(1, putGeneration(n, "later")))
	}
	evacuate := network.submit(1, Command{Kind: CommandEvacuate, Zone: "west"})
	revision := uint64(1)
	conditional := putGeneration(31, "bound")
	conditional.IfMatch = &revision
	mismatch := network.submit(1, conditional)
	for !network.hasResult(ids[2]) && network.step(1) {
	}
	network.expect(first, OutcomeCommitted)
	if state := network.expect(ids[2], OutcomeCommitted); state.Generation != 30 || state.Revision != 2 {
		t.Errorf("%+v", state)
	}
	network.deliverAll()
	for _, id := range append(ids, evacuate) {
		network.expect(id, OutcomeCommitted)
	}
	network.expect(mismatch, OutcomeMismatch)
	if state := network.newestState(); state.Generation != 30 || state.Revision != 3 || network.proposed != 3 {
		t.Errorf("%d states were proposed, %+v", network.proposed, state)
	}
}

// A generation that waits for a higher one is not acknowledged if that is not committed in
// time: it was never proposed, so it surely was not committed.
func TestGenerationsUncommitted(t *testing.T) {
	network := newProposerNetwork(t, 3)
	first := network.submit(1, putGeneration(1, "1"))
	for network.step(1) && network.proposed == 0 {
	}
	low := network.submit(1, putGeneration(2, "2"))
	network.now += time.Second
	high := network.submit(1, putGeneration(3, "3"))
	for !network.hasResult(first) {
		network.step(1)
	}
	network.sent[1] = nil // the messages for 3 are lost, and all later ones
	for range 40 {
		network.now += 50 * time.Millisecond
		network.handleReady(1, network.proposers[1].Tick(network.now))
		network.sent[1] = nil
		if network.hasResult(low) && !network.hasResult(high) {
			network.expect(low, OutcomeRejected)
		}
	}
	network.deliverAll()
	network.deliverAll()
	network.expect(low, OutcomeRejected)
	if !network.hasResult(high) {
		t.Error("the higher one has no result")
	}
}

// The generation of a state, and what was submitted, are read back from disk; a file of a
// version without generations is read.
func TestGenerationOnDisk(t *testing.T) {
	disk := openTestStore(t)
	store := newStateStore(disk)
	acceptor, err := store.load(Bootstrap{MemberID: 1, StaticSize: 1})
	if err != nil {
		t.Fatal(err)
	}
	acceptor.Phase, acceptor.Self.Incarnation = PhaseEstablished, 1
	acceptor.Position = Position{Term: 2, Revision: 3}
	acceptor.State = config.ControlState{Revision: 3, ConfigurationRevision: 3, Generation: 9, Configuration: []byte("{\n}\n"), Submitted: []byte("a\n\x00b")}
	acceptor.PromiseDirty, acceptor.StateDirty = true, true
	if err := store.save(acceptor); err != nil {
		t.Fatal(err)
	}
	got, err := newStateStore(disk).load(Bootstrap{MemberID: 1, StaticSize: 1})
	if diff := cmp.Diff(acceptor.State, got.State, cmpopts.EquateEmpty()); diff != "" || err != nil {
		t.Error(diff, err)
	}
	earlier := "{\"epoch\":4,\"stamp\":4,\"desired_stamp\":4,\"emptied\":[\"west\"]}\n{}"
	if err := disk.Save(kindState, "00000000000000000004.00000000000000000004", []byte(earlier)); err != nil {
		t.Fatal(err)
	}
	if got, err = newStateStore(disk).load(Bootstrap{MemberID: 1, StaticSize: 1}); err != nil || got.State.Generation != 0 || string(got.State.Configuration) != "{}" || got.State.ConfigurationRevision != 4 {
		t.Errorf("%+v %v", got.State, err)
	}
}
