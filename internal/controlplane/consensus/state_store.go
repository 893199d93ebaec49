package consensus

import (
	"fmt"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"curlewwalk/internal/storage"
)

// The kinds of file in the data directory. (DESIGN 6.1)
const (
	kindPromise = "oath"
	kindState   = "word"
)

const (
	keepPromises = 3
	keepStates   = 16 // earlier states stay for operators to look at (ours)
)

// stateStore keeps an acceptor on disk: its promises in files of one kind, and the control
// state that it accepted in files of another.
type stateStore struct {
	store *storage.Store
	// promiseSequence numbers the files with promises.
	promiseSequence uint64
}

// newStateStore makes a store of one acceptor, which has the directory for itself.
func newStateStore(store *storage.Store) *stateStore { return &stateStore{store: store} }

// load reads the acceptor. An empty disk gets the first state that the settings ask for. If the
// latest files can't be read, the acceptor has lost what it promised: the files are quarantined
// and it must join anew under another disk ID.
func (s *stateStore) load(bootstrap Bootstrap) (Acceptor, error) {
	empty := bootstrap.InitialState(newDiskID())
	promise, err := s.store.Latest(kindPromise)
	if err != nil {
		return empty, eris.Wrap(err, "load promise")
	}
	state, err := s.store.Latest(kindState)
	if err != nil {
		return empty, eris.Wrap(err, "load control state")
	}
	if promise.Name == "" && state.Name == "" {
		// The disk ID, or an initial member's, is on disk before the replica sends anything.
		return empty, s.save(empty)
	}
	if promise.Name == "" || promise.Corrupt || state.Corrupt {
		return s.resetIdentity(bootstrap, promise.Name)
	}
	acceptor, err := decodePromise(promise.Data, bootstrap)
	if err != nil {
		return s.resetIdentity(bootstrap, promise.Name)
	}
	s.continueSequence(promise.Name)
	if state.Name == "" {
		return acceptor, nil
	}
	switch acceptor.Phase {
	case PhaseLost:
		return acceptor, s.store.Quarantine(kindState, 0) // resetIdentity ended before that
	case PhaseEstablished, PhaseJoining:
		loaded, err := acceptor.withEncodedState(state.Data)
		if err != nil {
			return s.resetIdentity(bootstrap, promise.Name)
		}
		return loaded, nil
	}
	return acceptor, nil
}

// resetIdentity takes a new disk ID, and quarantines what was there. The ID is on disk before
// anything else changes: wherever this is interrupted, the disk is as it was or has the new ID.
// It never looks empty, which would make an initial member of it once more.
func (s *stateStore) resetIdentity(bootstrap Bootstrap, latestPromise string) (Acceptor, error) {
	s.continueSequence(latestPromise)
	bootstrap.NewCluster = false
	acceptor := bootstrap.InitialState(newDiskID())
	if acceptor.Phase == PhaseEmpty {
		acceptor.Phase = PhaseLost
	}
	if err := s.save(acceptor); err != nil {
		return acceptor, err
	}
	if err := s.store.Quarantine(kindPromise, 1); err != nil {
		return acceptor, err
	}
	return acceptor, s.store.Quarantine(kindState, 0)
}

// continueSequence numbers the next file with promises after the latest one.
func (s *stateStore) continueSequence(latestPromise string) {
	fmt.Sscanf(latestPromise, "%d", &s.promiseSequence)
}

// newDiskID draws the ID of a disk, which is never zero.
func newDiskID() uint64 { return rand.Uint64() | 1 }

// save writes the dirty parts of an acceptor: the control state first, since a promise says
// that the state that it stands for is there.
func (s *stateStore) save(acceptor Acceptor) error {
	if acceptor.StateDirty {
		if err := s.saveState(acceptor); err != nil {
			return err
		}
	}
	if acceptor.PromiseDirty {
		return s.savePromise(acceptor)
	}
	return nil
}

func (s *stateStore) saveState(acceptor Acceptor) error {
	data, err := acceptor.encodeState()
	if err != nil {
		return eris.Wrap(err, "encode control state")
	}
	name := fmt.Sprintf("%020d.%020d", acceptor.Position.Term, acceptor.Position.Revision)
	if err := s.store.Save(kindState, name, data); err != nil {
		return eris.Wrap(err, "save control state")
	}
	return eris.Wrap(s.store.Prune(kindState, keepStates), "prune control states")
}

func (s *stateStore) savePromise(acceptor Acceptor) error {
	data, err := acceptor.encodePromise()
	if err != nil {
		return eris.Wrap(err, "encode promise")
	}
	s.promiseSequence++
	if err := s.store.Save(kindPromise, fmt.Sprintf("%020d", s.promiseSequence), data); err != nil {
		return eris.Wrap(err, "save promise")
	}
	return eris.Wrap(s.store.Prune(kindPromise, keepPromises), "prune promises")
}
