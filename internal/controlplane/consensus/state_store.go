package consensus

import (
	"fmt"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"curlewwalk/internal/storage"
)

// The kinds of files in the data directory. (DESIGN 6.1)
const (
	kindPromise = "oath"
	kindState   = "word"
)

const (
	keepPromises = 3
	keepStates   = 16 // earlier states are kept for inspection by operators
)

// stateStore saves an acceptor on disk. The promises and the accepted control state are in
// files of different kinds.
type stateStore struct {
	store *storage.Store
	// promiseSequence is the number of the latest promise file.
	promiseSequence uint64
}

// newStateStore returns a store for one acceptor, which must be the only user of the directory.
func newStateStore(store *storage.Store) *stateStore { return &stateStore{store: store} }

// load loads the acceptor. An empty disk gets the initial state that the settings specify. If
// the latest files cannot be read, the acceptor has lost its promises: the files are
// quarantined, and the acceptor must join again under a new disk ID. Earlier files are not
// loaded instead, since replies for later ones may have been sent.
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
		// The disk ID, or the identity of an initial member, must be on disk before the replica
		// sends anything.
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
		// resetIdentity was interrupted before this step, or CompleteJoin between the writes of
		// the state and of the promise.
		return acceptor, s.store.Quarantine(kindState, 0)
	case PhaseEstablished, PhaseJoining:
		loaded, err := acceptor.withEncodedState(state.Data)
		if err != nil {
			return s.resetIdentity(bootstrap, promise.Name)
		}
		return loaded, nil
	}
	// The acceptor of an empty disk does not use the state. CompleteJoin was interrupted between
	// the writes of the state and of the promise.
	return acceptor, nil
}

// resetIdentity assigns a new disk ID and quarantines the existing files. The new ID is saved
// before anything else changes, so an interruption leaves the disk either unchanged or with the
// new ID. The disk never appears empty, since it could then be bootstrapped as an initial
// member again.
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
	if err := s.store.Quarantine(kindPromise, 1); err != nil { // keeps the promise that was just saved
		return acceptor, err
	}
	return acceptor, s.store.Quarantine(kindState, 0)
}

// continueSequence sets the sequence number so that the next promise file follows the latest
// one.
func (s *stateStore) continueSequence(latestPromise string) {
	fmt.Sscanf(latestPromise, "%d", &s.promiseSequence)
}

// newDiskID returns a random disk ID, which is never zero.
func newDiskID() uint64 { return rand.Uint64() | 1 }

// save writes the dirty parts of an acceptor. The control state is written first, since the
// phase and the member ID in the promise may result from that state. A promise on disk
// therefore implies that the state is on disk as well.
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
