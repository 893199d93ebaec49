package consensus

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

// errCrashed ends a run of the program: the process is gone.
var errCrashed = errors.New("the process ended here")

// errDiskFull is what a full disk says.
var errDiskFull = errors.New("no space left")

// inode is a file: what of it lasts, and what it holds now.
type inode struct {
	now, lasting []byte
	dirty        bool
}

// nameChange is a change of names that the folder's sync has not made lasting.
type nameChange struct {
	from, to string // from is empty for a file that was made, to for one that was removed
	file     *inode
}

// crashDirectory is a folder with exactly the promises of storage.Directory. It ends the process
// after so many steps, a step being a write of one byte or a call of anything else.
type crashDirectory struct {
	current, lasting map[string]*inode
	pending          []nameChange
	steps, end       int
	// full fails the steps from one on instead of ending the process.
	full bool
}

func newCrashDirectory() *crashDirectory {
	return &crashDirectory{current: map[string]*inode{}, lasting: map[string]*inode{}, end: -1}
}

// step counts a step, and fails where the run ends.
func (m *crashDirectory) step() error {
	if m.end >= 0 && m.steps >= m.end {
		if m.full {
			return errDiskFull
		}
		return errCrashed
	}
	m.steps++
	return nil
}

func (m *crashDirectory) Create(name string) (storage.File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	f, ok := m.current[name]
	if !ok {
		f = &inode{}
		m.current[name] = f
		m.pending = append(m.pending, nameChange{to: name, file: f})
	}
	f.now, f.dirty = nil, true
	return crashFile{m, f}, nil
}

func (m *crashDirectory) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	f, ok := m.current[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(m.current, from)
	m.current[to] = f
	m.pending = append(m.pending, nameChange{from: from, to: to, file: f})
	return nil
}

func (m *crashDirectory) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.pending = append(m.pending, nameChange{from: name, file: m.current[name]})
	delete(m.current, name)
	return nil
}

func (m *crashDirectory) Read(name string) ([]byte, error) {
	if f, ok := m.current[name]; ok {
		return slices.Clone(f.now), nil
	}
	return nil, fs.ErrNotExist
}

func (m *crashDirectory) List() ([]string, error) { return slices.Collect(maps.Keys(m.current)), nil }

func (m *crashDirectory) Sync() error {
	if err := m.step(); err != nil {
		return err
	}
	m.lasting, m.pending = maps.Clone(m.current), nil
	return nil
}

type crashFile struct {
	m *crashDirectory
	f *inode
}

func (w crashFile) Write(b []byte) (int, error) {
	for i, c := range b {
		if err := w.m.step(); err != nil {
			return i, err
		}
		w.f.now = append(w.f.now, c)
	}
	return len(b), nil
}

func (w crashFile) Sync() error {
	if err := w.m.step(); err != nil {
		return err
	}
	w.f.lasting, w.f.dirty = slices.Clone(w.f.now), false
	return nil
}

func (crashFile) Close() error { return nil }

// afterRestart is the folder of the next process, as it is after names and files were kept
// or lost.
func afterRestart(names map[string]*inode, content func(f *inode) []byte) *crashDirectory {
	next := newCrashDirectory()
	for name, f := range names {
		b := slices.Clone(content(f))
		next.current[name] = &inode{now: b, lasting: b}
	}
	next.lasting = maps.Clone(next.current)
	return next
}

// outcomes are all folders that the next process may find: after a kill the files as they
// are; after a loss of power each change of names that was not synced is kept or lost by
// itself, and what was not synced of a file is there, missing, or torn in the middle. (The
// end of the process at every byte of each write is the run's.)
func (m *crashDirectory) outcomes(t *testing.T, visit func(next *crashDirectory)) {
	visit(afterRestart(m.current, func(f *inode) []byte { return f.now }))
	if len(m.pending) > 12 {
		t.Fatalf("%d changes of names are not synced", len(m.pending))
	}
	contents := []func(f *inode) []byte{
		func(f *inode) []byte { return f.now },
		func(f *inode) []byte { return f.lasting },
		func(f *inode) []byte {
			if !f.dirty {
				return f.now
			}
			return f.now[:len(f.now)/2]
		},
	}
	if !slices.ContainsFunc(slices.Collect(maps.Values(m.current)), func(f *inode) bool { return f.dirty }) {
		contents = contents[:1]
	}
	for kept := range 1 << len(m.pending) {
		names := maps.Clone(m.lasting)
		for i, c := range m.pending {
			if kept&(1<<i) == 0 {
				continue
			}
			if names[c.from] == c.file {
				delete(names, c.from)
			}
			if c.to != "" {
				names[c.to] = c.file
			}
		}
		for _, content := range contents {
			visit(afterRestart(names, content))
		}
	}
}

// storeModel is an acceptor's life on a disk: what it may have told others, and what may have
// come of what it did not.
type storeModel struct {
	t     *testing.T
	start Bootstrap
	words map[Position]string
	// told is the last state that was saved, so that votes may have gone out on it.
	told  Acceptor
	saved bool
	seen  int
}

func newStoreModel(t *testing.T) *storeModel {
	return &storeModel{t: t, words: map[Position]string{}, start: Bootstrap{NewCluster: true, InitialMembers: []string{"a", "b", "c"}, AdvertiseAddr: "a"}}
}

// messages are an acceptor's life: promises, words that are proposed and settled, epochs that
// overtake one another, more words than are kept.
func (d *storeModel) messages(changes int) (out []Message) {
	term, revision := uint64(5), uint64(0)
	for i := range changes {
		if i%3 == 0 {
			term += 3
			out = append(out, Message{Type: MsgPrepare, Term: term})
		}
		revision++
		position, text := Position{Term: term, Revision: revision}, fmt.Sprint("word ", revision, " of ", term)
		d.words[position] = text
		state := config.ControlState{Revision: revision, Configuration: []byte(text)}
		out = append(out, Message{Type: MsgAccept, Term: term, Position: position, State: state}, Message{Type: MsgCommit, Term: term, Position: position, State: state})
	}
	return out
}

// run loads an acceptor and has it take ballots until something fails; what failed to be
// saved it never told, and it goes on as it was, as the keeper does.
func (d *storeModel) run(files *crashDirectory, messages []Message) (loaded bool, err error) {
	disk := &StateStore{Store: storage.NewStore(files)}
	acceptor, err := disk.Load(d.start)
	if err != nil {
		return false, err
	}
	d.told, d.saved = acceptor, true
	for _, message := range messages {
		next, reply := acceptor.Step(message)
		if err = disk.Save(next); err == nil {
			acceptor, d.told = next, next
			if !reply.Granted && message.Type != MsgCommit {
				d.t.Fatalf("%v of epoch %d was refused", message.Type, message.Term)
			}
		} else if errors.Is(err, errCrashed) {
			return true, err
		}
	}
	return true, err
}

// check compares what the next process loads with what was told before. With the same
// identity it holds and promises no less; lost says that it may have another.
func (d *storeModel) check(next *crashDirectory, lost bool, where string) {
	d.seen++
	acceptor, err := (&StateStore{Store: storage.NewStore(next)}).Load(d.start)
	if err != nil {
		d.t.Fatalf("%s: %v", where, err)
	}
	if !d.saved {
		return
	}
	if acceptor.Self.DiskID != d.told.Self.DiskID {
		if !lost {
			d.t.Fatalf("%s: another identity, with files %q", where, slices.Sorted(maps.Keys(next.current)))
		}
		return
	}
	if acceptor.Promised < d.told.Promised || acceptor.Position.Compare(d.told.Position) < 0 || acceptor.Phase != d.told.Phase || acceptor.Self != d.told.Self {
		d.t.Fatalf("%s: as %+v it promises %d and holds %v, before as %+v %d and %v; files %q", where, acceptor.Self, acceptor.Promised, acceptor.Position,
			d.told.Self, d.told.Promised, d.told.Position, slices.Sorted(maps.Keys(next.current)))
	}
	if acceptor.Position != (Position{}) && string(acceptor.State.Configuration) != d.words[acceptor.Position] {
		d.t.Fatalf("%s: holds %q as %v", where, acceptor.State.Configuration, acceptor.Position)
	}
}

// A process that ends, or a machine that loses power, at any step of an acceptor's life, at
// each byte of each write, comes back with the same identity and with all that it ever
// told, whatever is kept or lost of names and files that were not synced.
func TestStoreSurvivesCrashAnywhere(t *testing.T) {
	t.Parallel()
	d := newStoreModel(t)
	messages := d.messages(keepStates + 4)
	whole := newCrashDirectory()
	if _, err := d.run(whole, messages); err != nil {
		t.Fatal(err)
	}
	for end := range whole.steps {
		d.told, d.saved = Acceptor{}, false
		files := newCrashDirectory()
		files.end = end
		if _, err := d.run(files, messages); !errors.Is(err, errCrashed) {
			t.Fatalf("step %d: %v", end, err)
		}
		files.outcomes(t, func(next *crashDirectory) { d.check(next, false, fmt.Sprint("ended at step ", end)) })
	}
	t.Logf("%d steps, %d restarts", whole.steps, d.seen)
}

// A disk that is full from any step on, and has space again later or not: nothing is told
// that is not on it, and a loss of power at the end takes nothing that was told.
func TestStoreSurvivesFullDiskAnywhere(t *testing.T) {
	t.Parallel()
	d := newStoreModel(t)
	messages := d.messages(6)
	whole := newCrashDirectory()
	if _, err := d.run(whole, messages); err != nil {
		t.Fatal(err)
	}
	for end := range whole.steps {
		d.told, d.saved = Acceptor{}, false
		files := newCrashDirectory()
		files.end, files.full = end, true
		if loaded, _ := d.run(files, messages); !loaded {
			continue // it does not start
		}
		files.outcomes(t, func(next *crashDirectory) { d.check(next, false, fmt.Sprint("full from step ", end)) })
	}
	t.Logf("%d steps, %d restarts", whole.steps, d.seen)
}

// The newest file of a kind does not match its checksum any more: the acceptor has lost what
// it promised. However often the process or the power ends while it makes a new identity,
// also at a first start of the whole system, the old identity never votes with less.
func TestStoreDetectsLossAnywhere(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{kindPromise, kindState} {
		d := newStoreModel(t)
		messages := d.messages(4)
		whole := newCrashDirectory()
		if _, err := d.run(whole, messages); err != nil {
			t.Fatal(err)
		}
		torn := afterRestart(whole.current, func(f *inode) []byte { return f.now })
		newest := slices.MaxFunc(slices.DeleteFunc(slices.Collect(maps.Keys(torn.current)), func(n string) bool {
			return !strings.HasPrefix(n, kind+".")
		}), strings.Compare)
		b := torn.current[newest].now
		b[len(b)-1]++
		told := d.told
		copied := func(m *crashDirectory) *crashDirectory {
			return afterRestart(m.current, func(f *inode) []byte { return f.now })
		}
		var explore func(m *crashDirectory, depth int, where string)
		explore = func(m *crashDirectory, depth int, where string) {
			d.told, d.saved = told, true
			d.check(copied(m), true, where)
			steps := func() int {
				m := copied(m)
				(&StateStore{Store: storage.NewStore(m)}).Load(d.start)
				return m.steps
			}()
			if depth == 0 {
				return
			}
			last := ""
			for end := range steps {
				m := copied(m)
				m.end = end
				(&StateStore{Store: storage.NewStore(m)}).Load(d.start)
				now := fmt.Sprint(slices.Sorted(maps.Keys(m.current)), len(m.pending))
				if now == last && end%16 != 0 {
					continue // in the middle of a write of a file that is not read
				}
				last = now
				m.outcomes(t, func(next *crashDirectory) {
					explore(next, depth-1, fmt.Sprintf("%s, ended at step %d", where, end))
				})
			}
		}
		explore(torn, 2, kind+" is torn")
		t.Logf("%s: %d restarts", kind, d.seen)
	}
}
