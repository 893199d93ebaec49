package consensus

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"curlewwalk/internal/config"
)

// A generation is committed once, and one that is not higher than the newest changes nothing. A
// configuration without a generation keeps the generation and clears the stored submission.
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
		t.Errorf("state after the first put = %+v, want generation 5", state)
	}
	for n, text := range map[uint64]string{5: "five", 4: "other", 1: "other"} {
		if again := put(1, putGeneration(n, text)); again.Revision != state.Revision || string(again.Configuration) != "five" {
			t.Errorf("state after a put of generation %d after 5 = %+v, want no change", n, again)
		}
	}
	other := network.submit(1, putGeneration(5, "other"))
	network.deliverAll()
	network.expect(other, OutcomeConflict)
	revision := state.ConfigurationRevision + 7
	command := putGeneration(5, "five")
	command.IfMatch = &revision
	put(2, command) // repeated at another replica; the condition is ignored
	command = putGeneration(6, "six")
	command.IfMatch = &revision
	id := network.submit(2, command)
	network.deliverAll()
	network.expect(id, OutcomeMismatch)
	put(2, Command{Kind: CommandEvacuate, Zone: "west"})
	if state = network.newestState(); state.Generation != 5 || string(state.Submitted) != "sent five" {
		t.Errorf("state after a command of another kind = %+v, want generation 5 and its submission", state)
	}
	put(3, Command{Kind: CommandPutConfiguration, Payload: []byte("plain"), Submitted: []byte("no")})
	if state = network.newestState(); state.Generation != 5 || state.Submitted != nil || string(state.Configuration) != "plain" {
		t.Errorf("state after a put without a generation = %+v, want generation 5 without a submission", state)
	}
	put(1, putGeneration(5, "five"))
	if state = network.newestState(); string(state.Configuration) != "plain" {
		t.Errorf("state after an old generation was put again = %+v, want the plain configuration", state)
	}
	put(1, putGeneration(6, "six"))
	if state = network.newestState(); state.Generation != 6 || string(state.Configuration) != "six" {
		t.Errorf("state after generation 6 = %+v, want its configuration", state)
	}
}

// Two proposers write different generations in all interleavings of the first message
// deliveries. Both generations are acknowledged, and the higher one is the newest.
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
			t.Errorf("delivery order %b: newest state = %+v, want generation 2", steps, state)
		}
	}
}

// A generation whose messages were lost, and whose position another proposer's state has taken,
// is proposed again. Its outcome is not unknown.
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
		t.Errorf("newest state = %+v, want revision 2 without a generation", state)
	}
	network.deliverAll()
	network.expect(superseded, OutcomeCommitted)
	if state := network.newestState(); state.Generation != 1 || len(state.EvacuatedByOperator) != 2 {
		t.Errorf("newest state = %+v, want generation 1 and two evacuated zones", state)
	}
}

// Several generations are queued while one is being written. Only the highest of them is
// written. All are acknowledged, the lower ones once the highest is committed.
func TestGenerationsQueueUp(t *testing.T) {
	network := newProposerNetwork(t, 3)
	first := network.submit(1, putGeneration(1, "1"))
	for network.step(1) && network.proposed == 0 {
	}
	var ids []uint64
	for _, n := range []uint64{3, 2, 30, 4, 29} { // while the first one is being proposed
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
		t.Errorf("state of the highest generation = %+v, want generation 30 at revision 2", state)
	}
	network.deliverAll()
	for _, id := range append(ids, evacuate) {
		network.expect(id, OutcomeCommitted)
	}
	network.expect(mismatch, OutcomeMismatch)
	if state := network.newestState(); state.Generation != 30 || state.Revision != 3 || network.proposed != 3 {
		t.Errorf("%d states were proposed, newest %+v; want 3 states and generation 30 at revision 3", network.proposed, state)
	}
}

// A generation that waits for a higher one is rejected, not acknowledged, if the higher one is
// not committed in time. It was never proposed, so it was certainly not committed.
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
	network.sent[1] = nil // the messages for generation 3 and all later ones are lost
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
		t.Error("the higher generation has no result")
	}
}

// The generation and the submission of a state are loaded from disk. A file of a version
// without generations can be loaded.
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
		t.Errorf("state of the earlier version = %+v, error %v; want configuration {} at revision 4", got.State, err)
	}
}
