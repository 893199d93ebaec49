package consensus

import (
	"fmt"
	"slices"
	"testing"

	"curlewwalk/internal/config"
)

// A delayed duplicate of a command on a zone must not undo a newer command that was committed
// since the duplicate was received, at any replica and after any delay. A newer command is
// executed.
func TestDelayedDuplicateOfEvacuation(t *testing.T) {
	network := newProposerNetwork(t, 3)
	submit := func(memberID int, command Command, want Outcome) uint64 {
		t.Helper()
		id := network.submit(memberID, command)
		network.deliverAll()
		return network.expect(id, want).Revision
	}
	expectEvacuated := func(want ...string) {
		t.Helper()
		if got := network.newestState().EvacuatedByOperator; !slices.Equal(got, want) {
			t.Errorf("evacuated zones = %v, want %v", got, want)
		}
	}
	first := submit(1, zoneCommand(CommandEvacuate, "west", 0), OutcomeCommitted)
	if again := submit(2, zoneCommand(CommandEvacuate, "west", 0), OutcomeCommitted); again != first {
		t.Errorf("the duplicate was written again, at revision %d", again)
	}
	expectEvacuated("west")
	revoked := submit(2, zoneCommand(CommandRevokeEvacuation, "west", first), OutcomeCommitted)
	// The first replica has not seen the newer command, so it treats the duplicate as one of
	// the committed command. The others have seen the newer one. The duplicate has no effect at
	// any replica.
	submit(1, zoneCommand(CommandEvacuate, "west", 0), OutcomeCommitted)
	submit(2, zoneCommand(CommandEvacuate, "west", 0), OutcomeSuperseded)
	submit(3, zoneCommand(CommandEvacuate, "west", 0), OutcomeSuperseded)
	expectEvacuated()
	submit(1, zoneCommand(CommandEvacuate, "east", 0), OutcomeCommitted) // a command on another zone does not supersede
	expectEvacuated("east")
	submit(3, zoneCommand(CommandEvacuate, "west", revoked), OutcomeCommitted) // a new command, not a duplicate
	expectEvacuated("east", "west")
	submit(3, zoneCommand(CommandRevokeEvacuation, "west", first), OutcomeSuperseded)
	expectEvacuated("east", "west")
	submit(2, zoneCommand(CommandRevokeEvacuation, "east", network.newestState().Revision), OutcomeCommitted)
	expectEvacuated("west")
}

// A command whose proposal was lost is not proposed again if another replica's newer command on
// the same zone has superseded it. It is proposed again if only commands on other zones were
// committed.
func TestEvacuationSupersededInFlight(t *testing.T) {
	for _, zone := range []string{"west", "east"} {
		network := newProposerNetwork(t, 3)
		first := network.submit(1, zoneCommand(CommandRevokeEvacuation, "west", 0))
		network.deliverAll()
		network.expect(first, OutcomeCommitted)
		duplicate := network.submit(1, zoneCommand(CommandEvacuate, "west", 1))
		network.sent[1] = nil
		network.proposers[2].FollowAcceptor(network.acceptors[1], network.now)
		newer := network.submit(2, zoneCommand(CommandRevokeEvacuation, zone, 1))
		for network.step(2) {
		}
		network.expect(newer, OutcomeCommitted)
		network.deliverAll()
		if zone == "west" {
			network.expect(duplicate, OutcomeSuperseded)
		} else {
			network.expect(duplicate, OutcomeCommitted)
		}
		if got := len(network.newestState().EvacuatedByOperator); got != map[string]int{"west": 0, "east": 1}[zone] {
			t.Errorf("newer command on %s: %d zones are evacuated, want 0 for west and 1 for east", zone, got)
		}
	}
}

// A command whose IfMatch is not the newest revision of the configuration results in a
// mismatch, whatever else was committed for its zone.
func TestConditionalEvacuation(t *testing.T) {
	network := newProposerNetwork(t, 3)
	newest, other := uint64(2), uint64(7)
	for _, step := range []struct {
		command Command
		ifMatch *uint64
		want    Outcome
	}{
		{zoneCommand(CommandEvacuate, "west", 0), nil, OutcomeCommitted},
		{Command{Kind: CommandPutConfiguration, Payload: []byte("plain")}, nil, OutcomeCommitted},
		{zoneCommand(CommandEvacuate, "west", 0), &newest, OutcomeCommitted},
		{zoneCommand(CommandEvacuate, "west", 0), &other, OutcomeMismatch},
		{zoneCommand(CommandRevokeEvacuation, "west", 0), &other, OutcomeMismatch},
		{zoneCommand(CommandRevokeEvacuation, "west", 0), &newest, OutcomeSuperseded},
	} {
		step.command.IfMatch = step.ifMatch
		id := network.submit(1, step.command)
		network.deliverAll()
		network.expect(id, step.want)
	}
}

// The record of commands on zones is bounded. A command that was received before the oldest
// revision on record has no effect, and one received after it is executed.
func TestEvacuationsAreBounded(t *testing.T) {
	state := config.ControlState{}
	for n := 1; n <= 3*config.MaxEvacuations; n++ {
		state = applyCommand(state, Command{Kind: CommandEvacuate, Zone: fmt.Sprint("zone-", n)})
	}
	if len(state.Evacuations) != config.MaxEvacuations || state.CompactedRevision != 2*config.MaxEvacuations {
		t.Fatalf("%d evacuations on record, compacted up to revision %d", len(state.Evacuations), state.CompactedRevision)
	}
	for sinceRevision, want := range map[uint64]Outcome{state.CompactedRevision - 1: OutcomeSuperseded, state.CompactedRevision: ""} {
		if got, _ := supersededEvacuation(state, zoneCommand(CommandRevokeEvacuation, "zone-1", sinceRevision)); got != want {
			t.Errorf("outcome of a command since revision %d = %q, want %q", sinceRevision, got, want)
		}
	}
}

// The record of commands on zones survives a restart.
func TestEvacuationsOnDisk(t *testing.T) {
	state := applyCommand(config.ControlState{Revision: 4, CompactedRevision: 2}, Command{Kind: CommandEvacuate, Zone: "west"})
	got := saveAndLoad(t, state)
	if revision, known := got.EvacuationRevision("west"); !known || revision != 5 {
		t.Errorf("EvacuationRevision(west) = %d, %v, want 5, true", revision, known)
	}
	if revision, known := got.EvacuationRevision("east"); known || revision != 2 {
		t.Errorf("EvacuationRevision(east) = %d, %v, want 2, false", revision, known)
	}
}
