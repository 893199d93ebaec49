package consensus

import (
	"fmt"
	"slices"
	"testing"

	"curlewwalk/internal/config"
)

// zoneCommand is an order on a zone that came while a stamp was the newest.
func zoneCommand(kind CommandKind, zone string, sinceRevision uint64) Command {
	return Command{Kind: kind, Zone: zone, SinceRevision: &sinceRevision}
}

// An old copy of an order on a zone does not undo a newer one that was taken since
// the copy came, at whatever core and however late; a newer order is carried out.
func TestDelayedDuplicateOfEvacuation(t *testing.T) {
	network := newProposerNetwork(t, 3)
	do := func(memberID int, command Command, want Outcome) uint64 {
		t.Helper()
		id := network.submit(memberID, command)
		network.deliverAll()
		return network.expect(id, want).Revision
	}
	emptied := func(want ...string) {
		t.Helper()
		if got := network.newestState().EvacuatedByOperator; !slices.Equal(got, want) {
			t.Errorf("emptied are %v, want %v", got, want)
		}
	}
	first := do(1, zoneCommand(CommandEvacuate, "west", 0), OutcomeCommitted)
	if again := do(2, zoneCommand(CommandEvacuate, "west", 0), OutcomeCommitted); again != first {
		t.Errorf("a copy was written once more, as %d", again)
	}
	emptied("west")
	back := do(2, zoneCommand(CommandRevokeEvacuation, "west", first), OutcomeCommitted)
	// The first core has not heard of the newer order: to it the copy is of the one that
	// was taken. The others have. It has no effect at any.
	do(1, zoneCommand(CommandEvacuate, "west", 0), OutcomeCommitted)
	do(2, zoneCommand(CommandEvacuate, "west", 0), OutcomeSuperseded)
	do(3, zoneCommand(CommandEvacuate, "west", 0), OutcomeSuperseded)
	emptied()
	do(1, zoneCommand(CommandEvacuate, "east", 0), OutcomeCommitted) // another zone's order is no newer one
	emptied("east")
	do(3, zoneCommand(CommandEvacuate, "west", back), OutcomeCommitted) // wanted anew
	emptied("east", "west")
	do(3, zoneCommand(CommandRevokeEvacuation, "west", first), OutcomeSuperseded)
	emptied("east", "west")
	do(2, zoneCommand(CommandRevokeEvacuation, "east", network.newestState().Revision), OutcomeCommitted)
	emptied("west")
}

// An order whose proposal was lost, and that another core's newer one came in the way
// of, is not proposed again; if only others' words came, it is.
func TestEvacuationSupersededInFlight(t *testing.T) {
	for _, by := range []string{"west", "east"} {
		network := newProposerNetwork(t, 3)
		first := network.submit(1, zoneCommand(CommandRevokeEvacuation, "west", 0))
		network.deliverAll()
		network.expect(first, OutcomeCommitted)
		old := network.submit(1, zoneCommand(CommandEvacuate, "west", 1))
		network.sent[1] = nil
		network.proposers[2].FollowAcceptor(network.acceptors[1], network.now)
		newer := network.submit(2, zoneCommand(CommandRevokeEvacuation, by, 1))
		for network.step(2) {
		}
		network.expect(newer, OutcomeCommitted)
		network.deliverAll()
		if by == "west" {
			network.expect(old, OutcomeSuperseded)
		} else {
			network.expect(old, OutcomeCommitted)
		}
		if got := len(network.newestState().EvacuatedByOperator); got != map[string]int{"west": 0, "east": 1}[by] {
			t.Errorf("%s: %d are emptied", by, got)
		}
	}
}

// An order that is bound to a configuration that is not the newest is told so, whatever
// else was ordered on its zone.
func TestConditionalEvacuation(t *testing.T) {
	network := newProposerNetwork(t, 3)
	newest, other := uint64(2), uint64(7)
	for _, step := range []struct {
		order Command
		match *uint64
		want  Outcome
	}{
		{zoneCommand(CommandEvacuate, "west", 0), nil, OutcomeCommitted},
		{Command{Kind: CommandPutConfiguration, Payload: []byte("plain")}, nil, OutcomeCommitted},
		{zoneCommand(CommandEvacuate, "west", 0), &newest, OutcomeCommitted},
		{zoneCommand(CommandEvacuate, "west", 0), &other, OutcomeMismatch},
		{zoneCommand(CommandRevokeEvacuation, "west", 0), &other, OutcomeMismatch},
		{zoneCommand(CommandRevokeEvacuation, "west", 0), &newest, OutcomeSuperseded},
	} {
		step.order.IfMatch = step.match
		id := network.submit(1, step.order)
		network.deliverAll()
		network.expect(id, step.want)
	}
}

// The record of orders on zones is bounded; a copy older than what was dropped from
// it is left without effect, and one that came since is carried out.
func TestEvacuationsAreBounded(t *testing.T) {
	state := config.ControlState{}
	for n := 1; n <= 3*config.MaxEvacuations; n++ {
		state = applyCommand(state, Command{Kind: CommandEvacuate, Zone: fmt.Sprint("zone-", n)})
	}
	if len(state.Evacuations) != config.MaxEvacuations || state.CompactedRevision != 2*config.MaxEvacuations {
		t.Fatalf("%d on record, forgotten up to %d", len(state.Evacuations), state.CompactedRevision)
	}
	for sinceRevision, want := range map[uint64]Outcome{state.CompactedRevision - 1: OutcomeSuperseded, state.CompactedRevision: ""} {
		if got, _ := supersededEvacuation(state, zoneCommand(CommandRevokeEvacuation, "zone-1", sinceRevision)); got != want {
			t.Errorf("since %d: %q, want %q", sinceRevision, got, want)
		}
	}
}

// What is on record of zones outlives a restart.
func TestEvacuationsOnDisk(t *testing.T) {
	state := applyCommand(config.ControlState{Revision: 4, CompactedRevision: 2}, Command{Kind: CommandEvacuate, Zone: "west"})
	got := saveAndLoad(t, state)
	if at, known := got.EvacuationRevision("west"); !known || at != 5 {
		t.Errorf("west at %d, %v", at, known)
	}
	if at, known := got.EvacuationRevision("east"); known || at != 2 {
		t.Errorf("east at %d, %v", at, known)
	}
}
