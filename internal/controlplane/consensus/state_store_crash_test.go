package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

func (crashFile) Close() error { return nil }

// storeModel tracks the last saved state of an acceptor and the configuration of every proposed
// state. Replies for a saved state may have been sent. A state that was not saved successfully
// may or may not be on disk.
type storeModel struct {
	t         *testing.T
	bootstrap Bootstrap
	payloads  map[Position]string
	// saved is the last saved state. Replies for it may have been sent.
	saved    Acceptor
	hasSaved bool
	restarts int
}

func newStoreModel(t *testing.T) *storeModel {
	return &storeModel{t: t, payloads: map[Position]string{}, bootstrap: Bootstrap{NewCluster: true, InitialMembers: []string{"a", "b", "c"}, AdvertiseAddr: "a"}}
}

// messages returns messages to an acceptor: prepares, accepts, and commits under successive
// terms, with more states than are kept if changes is greater than keepStates.
func (model *storeModel) messages(changes int) (out []Message) {
	term, revision := uint64(5), uint64(0)
	for i := range changes {
		if i%3 == 0 {
			term += 3
			out = append(out, Message{Type: MsgPrepare, Term: term})
		}
		revision++
		position, text := Position{Term: term, Revision: revision}, fmt.Sprint("state ", revision, " of ", term)
		model.payloads[position] = text
		state := config.ControlState{Revision: revision, Configuration: []byte(text)}
		out = append(out, Message{Type: MsgAccept, Term: term, Position: position, State: state}, Message{Type: MsgCommit, Term: term, Position: position, State: state})
	}
	return out
}

// run loads an acceptor and passes messages to it until it crashes. If saving a state fails
// without a crash, it discards that state and continues with the last saved one, as the replica
// does.
func (model *storeModel) run(files *crashDirectory, messages []Message) (loaded bool, err error) {
	disk := newStateStore(storage.NewStore(files))
	acceptor, err := disk.load(model.bootstrap)
	if err != nil {
		return false, err
	}
	model.saved, model.hasSaved = acceptor, true
	for _, message := range messages {
		next, reply := acceptor.Step(message)
		if err = disk.save(next); err == nil {
			acceptor, model.saved = next, next
			if !reply.Granted && message.Type != MsgCommit {
				model.t.Fatalf("%v of term %d was rejected", message.Type, message.Term)
			}
		} else if errors.Is(err, errCrashed) {
			return true, err
		}
	}
	return true, err
}

// check loads the acceptor of the next process and compares it with the last saved state. With
// the same disk ID, its promise and position must not be lower. If lost is set, it may have
// another disk ID instead.
func (model *storeModel) check(next *crashDirectory, lost bool, where string) {
	model.restarts++
	acceptor, err := newStateStore(storage.NewStore(next)).load(model.bootstrap)
	if err != nil {
		model.t.Fatalf("%s: %v", where, err)
	}
	if !model.hasSaved {
		return
	}
	if acceptor.Self.DiskID != model.saved.Self.DiskID {
		if !lost {
			model.t.Fatalf("%s: the disk ID has changed; files %q", where, slices.Sorted(maps.Keys(next.current)))
		}
		return
	}
	if acceptor.Promised < model.saved.Promised || acceptor.Position.Compare(model.saved.Position) < 0 || acceptor.Phase != model.saved.Phase || acceptor.Self != model.saved.Self {
		model.t.Fatalf("%s: loaded %+v with promise %d and position %v, saved %+v with promise %d and position %v; files %q", where, acceptor.Self, acceptor.Promised, acceptor.Position,
			model.saved.Self, model.saved.Promised, model.saved.Position, slices.Sorted(maps.Keys(next.current)))
	}
	if acceptor.Position != (Position{}) && string(acceptor.State.Configuration) != model.payloads[acceptor.Position] {
		model.t.Fatalf("%s: loaded configuration %q at %v, want the saved one", where, acceptor.State.Configuration, acceptor.Position)
	}
}

// The process is killed, or the machine loses power, at any step of an acceptor and any byte of
// a write. The next process must load the same disk ID and every state for which a reply may
// have been sent, whichever unsynced names and contents are kept or lost.
func TestStoreSurvivesCrashAnywhere(t *testing.T) {
	t.Parallel()
	model := newStoreModel(t)
	messages := model.messages(keepStates + 4)
	completed := newCrashDirectory()
	if _, err := model.run(completed, messages); err != nil {
		t.Fatal(err)
	}
	for end := range completed.steps {
		model.saved, model.hasSaved = Acceptor{}, false
		files := newCrashDirectory()
		files.crashAt = end
		if _, err := model.run(files, messages); !errors.Is(err, errCrashed) {
			t.Fatalf("crash at step %d: error %v, want the simulated crash", end, err)
		}
		files.visitRestarts(t, func(next *crashDirectory) { model.check(next, false, fmt.Sprint("crashed at step ", end)) })
	}
	t.Logf("%d steps, %d restarts", completed.steps, model.restarts)
}

// The disk is full from any step on, and has free space again after the restart. The
// acceptor must not reply for a state that is not on disk, and a power loss at the end must not
// lose a state for which a reply may have been sent.
func TestStoreSurvivesFullDiskAnywhere(t *testing.T) {
	t.Parallel()
	model := newStoreModel(t)
	messages := model.messages(6)
	completed := newCrashDirectory()
	if _, err := model.run(completed, messages); err != nil {
		t.Fatal(err)
	}
	for end := range completed.steps {
		model.saved, model.hasSaved = Acceptor{}, false
		files := newCrashDirectory()
		files.crashAt, files.full = end, true
		if loaded, _ := model.run(files, messages); !loaded {
			continue // the acceptor could not be loaded
		}
		files.visitRestarts(t, func(next *crashDirectory) { model.check(next, false, fmt.Sprint("full from step ", end)) })
	}
	t.Logf("%d steps, %d restarts", completed.steps, model.restarts)
}

// The latest file of a kind does not match its checksum, so the acceptor has lost its promises.
// The process or the power fails, also repeatedly, while the acceptor assigns itself a new disk
// ID. The acceptor must never reply under the old ID with lower promises, also if the settings
// are those of the first start of a cluster.
func TestStoreDetectsLossAnywhere(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{kindPromise, kindState} {
		model := newStoreModel(t)
		messages := model.messages(4)
		completed := newCrashDirectory()
		if _, err := model.run(completed, messages); err != nil {
			t.Fatal(err)
		}
		corrupt := afterRestart(completed.current, func(file *inode) []byte { return file.current })
		newest := slices.MaxFunc(slices.DeleteFunc(slices.Collect(maps.Keys(corrupt.current)), func(n string) bool {
			return !strings.HasPrefix(n, kind+".")
		}), strings.Compare)
		b := corrupt.current[newest].current
		b[len(b)-1]++
		lastSaved := model.saved
		clone := func(m *crashDirectory) *crashDirectory {
			return afterRestart(m.current, func(file *inode) []byte { return file.current })
		}
		var explore func(m *crashDirectory, depth int, where string)
		explore = func(m *crashDirectory, depth int, where string) {
			model.saved, model.hasSaved = lastSaved, true
			model.check(clone(m), true, where)
			steps := func() int {
				m := clone(m)
				newStateStore(storage.NewStore(m)).load(model.bootstrap)
				return m.steps
			}()
			if depth == 0 {
				return
			}
			last := ""
			for end := range steps {
				m := clone(m)
				m.crashAt = end
				newStateStore(storage.NewStore(m)).load(model.bootstrap)
				files := fmt.Sprint(slices.Sorted(maps.Keys(m.current)), len(m.pending))
				if files == last && end%16 != 0 {
					continue // within the write of a file that is not read
				}
				last = files
				m.visitRestarts(t, func(next *crashDirectory) {
					explore(next, depth-1, fmt.Sprintf("%s, crashed at step %d", where, end))
				})
			}
		}
		explore(corrupt, 2, kind+" is corrupt")
		t.Logf("%s: %d restarts", kind, model.restarts)
	}
}
