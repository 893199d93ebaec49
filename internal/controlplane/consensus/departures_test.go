package consensus

import (
	"slices"
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

// TestDeparturesAreCommands checks the commands that record departures: one that adds a departure is
// written as a new revision, one whose departures are all recorded needs no write, and no other command
// drops a departure.
func TestDeparturesAreCommands(t *testing.T) {
	base := config.ControlState{Revision: 4, Departed: []string{"a"}}
	record := func(instances ...string) Command {
		return Command{Kind: CommandRecordDepartures, Departed: instances}
	}
	if result, resolved := resolveWithoutWrite(base, record("a")); !resolved || result.Outcome != OutcomeCommitted {
		t.Errorf("got %v %v for a recorded departure, want it committed without a write", result.Outcome, resolved)
	}
	if _, resolved := resolveWithoutWrite(base, record("a", "b")); resolved {
		t.Error("a new departure was resolved without a write")
	}
	next := applyCommand(base, record("a", "b"))
	if next.Revision != 5 || !slices.Equal(next.Departed, []string{"a", "b"}) || !satisfies(next, record("b")) || satisfies(base, record("b")) {
		t.Errorf("got revision %d with departures %v, want 5 with a and b", next.Revision, next.Departed)
	}
	for _, kind := range []CommandKind{CommandPutConfiguration, CommandEvacuate, CommandRevokeEvacuation, CommandPutCalendar, CommandBeginWindow, CommandEndWindow} {
		if after := applyCommand(next, Command{Kind: kind, Zone: "west", Window: "w"}); !slices.Equal(after.Departed, next.Departed) {
			t.Errorf("command %s: got departures %v, want them unchanged", kind, after.Departed)
		}
	}
}

// TestDeparturesAreOnDisk guards against a departure that is recorded in memory only: it must be read
// back from the disk after the process has ended.
func TestDeparturesAreOnDisk(t *testing.T) {
	dir := t.TempDir()
	h := newHistory(t, dir)
	h.write(Command{Kind: CommandRecordDepartures, Departed: []string{"a", "b"}})
	disk, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	acceptor, err := newStateStore(disk).load(Bootstrap{})
	if err != nil {
		t.Fatal(err)
	}
	if !acceptor.State.HaveDeparted([]string{"a", "b"}) {
		t.Errorf("got departures %v from the disk, want a and b", acceptor.State.Departed)
	}
}
