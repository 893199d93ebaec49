package consensus

import (
	"fmt"
	"slices"
	"testing"

	"curlewwalk/internal/config"
)

// A delayed duplicate of a command on a zone does not undo a newer one that was committed since
// the duplicate came, at whatever replica and however late; a newer command is carried out.
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
			t.Errorf("evacuated are %v, want %v", got, want)
		}
	}
	first := submit(1, zoneCommand(CommandEvacuate, "west", 0), OutcomeCommitted)
	if again := submit(2, zoneCommand(CommandEvacuate, "west", 0), OutcomeCommitted); again != first {
		t.Errorf("a duplicate was written once more, as %d", again)
	}
	expectEvacuated("west")
	revoked := submit(2, zoneCommand(CommandRevokeEvacuation, "west", first), OutcomeCommitted)
	// The first replica does not know of the newer command: to it the duplicate is of the one
	// that was committed. The others do. It has no effect at any.
	submit(1, zoneCommand(CommandEvacuate, "west", 0), OutcomeCommitted)
	submit(2, zoneCommand(CommandEvacuate, "west", 0), OutcomeSuperseded)
	submit(3, zoneCommand(CommandEvacuate, "west", 0), OutcomeSuperseded)
	expectEvacuated()
	submit(1, zoneCommand(CommandEvacuate, "east", 0), OutcomeCommitted) // a command on another zone is no newer one
	expectEvacuated("east")
	submit(3, zoneCommand(CommandEvacuate, "west", revoked), OutcomeCommitted) // submitted anew
	expectEvacuated("east", "west")
	submit(3, zoneCommand(CommandRevokeEvacuation, "west", first), OutcomeSuperseded)
	expectEvacuated("east", "west")
	submit(2, zoneCommand(CommandRevokeEvacuation, "east", network.newestState().Revision), OutcomeCommitted)
	expectEvacuated("west")
}

// A command whose proposal was lost, and which another replica's newer one has superseded, is
// not proposed again; if only commands on other zones came, it is.
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
			t.Errorf("%s: %d are evacuated", zone, got)
		}
	}
}

// A command that is bound to a configuration that is not the newest is answered so, whatever
// else was committed for its zone.
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

// The record of commands on zones is bounded; a duplicate from before what the record goes back
// to has no effect, and one that came since is carried out.
func TestEvacuationsAreBounded(t *testing.T) {
	state := config.ControlState{}
	for n := 1; n <= 3*config.MaxEvacuations; n++ {
		state = applyCommand(state, Command{Kind: CommandEvacuate, Zone: fmt.Sprint("zone-", n)})
	}
	if len(state.Evacuations) != config.MaxEvacuations || state.CompactedRevision != 2*config.MaxEvacuations {
		t.Fatalf("%d on record, compacted up to %d", len(state.Evacuations), state.CompactedRevision)
	}
	for sinceRevision, want := range map[uint64]Outcome{state.CompactedRevision - 1: OutcomeSuperseded, state.CompactedRevision: ""} {
		if got, _ := supersededEvacuation(state, zoneCommand(CommandRevokeEvacuation, "zone-1", sinceRevision)); got != want {
			t.Errorf("since %d: %q, want %q", sinceRevision, got, want)
		}
	}
}

// The record of commands on zones survives a restart.
func TestEvacuationsOnDisk(t *testing.T) {
	state := applyCommand(config.ControlState{Revision: 4, CompactedRevision: 2}, Command{Kind: CommandEvacuate, Zone: "west"})
	got := saveAndLoad(t, state)
	if revision, known := got.EvacuationRevision("west"); !known || revision != 5 {
		t.Errorf("west at %d, %v", revision, known)
	}
	if revision, known := got.EvacuationRevision("east"); known || revision != 2 {
		t.Errorf("east at %d, %v", revision, known)
	}
}
