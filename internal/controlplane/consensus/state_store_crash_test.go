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

// storeModel follows an acceptor on a disk: what it may have sent, and what may have become of
// what it did not.
type storeModel struct {
	t         *testing.T
	bootstrap Bootstrap
	payloads  map[Position]string
	// saved is the last state that was saved, so that replies may have been sent for it.
	saved    Acceptor
	hasSaved bool
	restarts int
}

func newStoreModel(t *testing.T) *storeModel {
	return &storeModel{t: t, payloads: map[Position]string{}, bootstrap: Bootstrap{NewCluster: true, InitialMembers: []string{"a", "b", "c"}, AdvertiseAddr: "a"}}
}

// messages are what an acceptor takes: promises, states that are proposed and committed, terms
// that supersede one another, more states than are kept.
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

// run loads an acceptor and has it take messages until something fails. It sends nothing of
// what failed to be saved, and goes on as it was, as the replica does.
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
				model.t.Fatalf("%v of term %d was refused", message.Type, message.Term)
			}
		} else if errors.Is(err, errCrashed) {
			return true, err
		}
	}
	return true, err
}

// check compares what the next process loads with what was sent before. With the same disk ID
// it holds and promises no less; lost says that it may have another.
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
			model.t.Fatalf("%s: another disk ID, with files %q", where, slices.Sorted(maps.Keys(next.current)))
		}
		return
	}
	if acceptor.Promised < model.saved.Promised || acceptor.Position.Compare(model.saved.Position) < 0 || acceptor.Phase != model.saved.Phase || acceptor.Self != model.saved.Self {
		model.t.Fatalf("%s: as %+v it promises %d and holds %v, before as %+v %d and %v; files %q", where, acceptor.Self, acceptor.Promised, acceptor.Position,
			model.saved.Self, model.saved.Promised, model.saved.Position, slices.Sorted(maps.Keys(next.current)))
	}
	if acceptor.Position != (Position{}) && string(acceptor.State.Configuration) != model.payloads[acceptor.Position] {
		model.t.Fatalf("%s: holds %q as %v", where, acceptor.State.Configuration, acceptor.Position)
	}
}

// A process that is killed, or a machine that loses power, at any step of an acceptor, at each
// byte of each write, comes back with the same disk ID and with all that it ever sent, whatever
// is kept or lost of names and files that were not synced.
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
			t.Fatalf("step %d: %v", end, err)
		}
		files.outcomes(t, func(next *crashDirectory) { model.check(next, false, fmt.Sprint("crashed at step ", end)) })
	}
	t.Logf("%d steps, %d restarts", completed.steps, model.restarts)
}

// A disk that is full from any step on, and has space again later or not: nothing is sent that
// is not on it, and a loss of power at the end takes nothing that was sent.
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
			continue // it does not start
		}
		files.outcomes(t, func(next *crashDirectory) { model.check(next, false, fmt.Sprint("full from step ", end)) })
	}
	t.Logf("%d steps, %d restarts", completed.steps, model.restarts)
}

// The latest file of a kind does not match its checksum any more: the acceptor has lost what it
// promised. However often the process or the power ends while it takes a new disk ID, also at
// the first start of a cluster, it never replies under the old one with less.
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
					continue // in the middle of a write of a file that is not read
				}
				last = files
				m.outcomes(t, func(next *crashDirectory) {
					explore(next, depth-1, fmt.Sprintf("%s, crashed at step %d", where, end))
				})
			}
		}
		explore(corrupt, 2, kind+" is corrupt")
		t.Logf("%s: %d restarts", kind, model.restarts)
	}
}
