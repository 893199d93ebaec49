package consensus

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

// openTestStore returns a store in an empty directory.
func openTestStore(t *testing.T) *storage.Store {
	t.Helper()
	store, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// mustLoad loads an acceptor and fails the test on an error.
func mustLoad(t *testing.T, store *stateStore, bootstrap Bootstrap) Acceptor {
	t.Helper()
	acceptor, err := store.load(bootstrap)
	if err != nil {
		t.Fatal(err)
	}
	return acceptor
}

// saveAndLoad saves a state and returns it as loaded from disk.
func saveAndLoad(t *testing.T, state config.ControlState) config.ControlState {
	t.Helper()
	disk := openTestStore(t)
	acceptor := establishedAcceptor(1, Position{Term: 1, Revision: state.Revision}, state)
	acceptor.PromiseDirty, acceptor.StateDirty = true, true
	if err := newStateStore(disk).save(acceptor); err != nil {
		t.Fatal(err)
	}
	got, err := newStateStore(disk).load(Bootstrap{})
	if err != nil || got.Phase != PhaseEstablished {
		t.Fatal(got.Phase, err)
	}
	return got.State
}
