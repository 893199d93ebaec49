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

// errEnd ends a run of the program: the process is gone.
var errEnd = errors.New("the process ended here")

// errFull is what a full disk says.
var errFull = errors.New("no space left")

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

// modelFiles is a folder with exactly the promises of storage.Files. It ends the process
// after so many steps, a step being a write of one byte or a call of anything else.
type modelFiles struct {
	now, lasting map[string]*inode
	pending      []nameChange
	steps, end   int
	// full fails the steps from one on instead of ending the process.
	full bool
}

func newModelFiles() *modelFiles {
	return &modelFiles{now: map[string]*inode{}, lasting: map[string]*inode{}, end: -1}
}

// step counts a step, and fails where the run ends.
func (m *modelFiles) step() error {
	if m.end >= 0 && m.steps >= m.end {
		if m.full {
			return errFull
		}
		return errEnd
	}
	m.steps++
	return nil
}

func (m *modelFiles) Create(name string) (storage.File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	f, ok := m.now[name]
	if !ok {
		f = &inode{}
		m.now[name] = f
		m.pending = append(m.pending, nameChange{to: name, file: f})
	}
	f.now, f.dirty = nil, true
	return modelFile{m, f}, nil
}

func (m *modelFiles) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	f, ok := m.now[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(m.now, from)
	m.now[to] = f
	m.pending = append(m.pending, nameChange{from: from, to: to, file: f})
	return nil
}

func (m *modelFiles) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.pending = append(m.pending, nameChange{from: name, file: m.now[name]})
	delete(m.now, name)
	return nil
}

func (m *modelFiles) Read(name string) ([]byte, error) {
	if f, ok := m.now[name]; ok {
		return slices.Clone(f.now), nil
	}
	return nil, fs.ErrNotExist
}

func (m *modelFiles) List() ([]string, error) { return slices.Collect(maps.Keys(m.now)), nil }

func (m *modelFiles) Sync() error {
	if err := m.step(); err != nil {
		return err
	}
	m.lasting, m.pending = maps.Clone(m.now), nil
	return nil
}

type modelFile struct {
	m *modelFiles
	f *inode
}

func (w modelFile) Write(b []byte) (int, error) {
	for i, c := range b {
		if err := w.m.step(); err != nil {
			return i, err
		}
		w.f.now = append(w.f.now, c)
	}
	return len(b), nil
}

func (w modelFile) Sync() error {
	if err := w.m.step(); err != nil {
		return err
	}
	w.f.lasting, w.f.dirty = slices.Clone(w.f.now), false
	return nil
}

func (modelFile) Close() error { return nil }

// restarted is the folder of the next process, as it is after names and files were kept
// or lost.
func restarted(names map[string]*inode, content func(f *inode) []byte) *modelFiles {
	next := newModelFiles()
	for name, f := range names {
		b := slices.Clone(content(f))
		next.now[name] = &inode{now: b, lasting: b}
	}
	next.lasting = maps.Clone(next.now)
	return next
}

// outcomes are all folders that the next process may find: after a kill the files as they
// are; after a loss of power each change of names that was not synced is kept or lost by
// itself, and what was not synced of a file is there, missing, or torn in the middle. (The
// end of the process at every byte of each write is the run's.)
func (m *modelFiles) outcomes(t *testing.T, visit func(next *modelFiles)) {
	visit(restarted(m.now, func(f *inode) []byte { return f.now }))
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
	if !slices.ContainsFunc(slices.Collect(maps.Values(m.now)), func(f *inode) bool { return f.dirty }) {
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
			visit(restarted(names, content))
		}
	}
}

// diskModel is an acceptor's life on a disk: what it may have told others, and what may have
// come of what it did not.
type diskModel struct {
	t     *testing.T
	start Start
	words map[Mark]string
	// told is the last state that was saved, so that votes may have gone out on it.
	told  Acceptor
	saved bool
	seen  int
}

func newDiskModel(t *testing.T) *diskModel {
	return &diskModel{t: t, words: map[Mark]string{}, start: Start{First: true, Founders: []string{"a", "b", "c"}, Addr: "a"}}
}

// ballots are an acceptor's life: promises, words that are proposed and settled, epochs that
// overtake one another, more words than are kept.
func (d *diskModel) ballots(changes int) (out []Ballot) {
	epoch, stamp := uint64(5), uint64(0)
	for i := range changes {
		if i%3 == 0 {
			epoch += 3
			out = append(out, Ballot{Act: Prepare, Epoch: epoch})
		}
		stamp++
		mark, text := Mark{Epoch: epoch, Stamp: stamp}, fmt.Sprint("word ", stamp, " of ", epoch)
		d.words[mark] = text
		w := config.Word{Stamp: stamp, Desired: []byte(text)}
		out = append(out, Ballot{Act: Propose, Epoch: epoch, Mark: mark, Word: w}, Ballot{Act: Settle, Epoch: epoch, Mark: mark, Word: w})
	}
	return out
}

// live loads an acceptor and has it take ballots until something fails; what failed to be
// saved it never told, and it goes on as it was, as the keeper does.
func (d *diskModel) live(files *modelFiles, ballots []Ballot) (loaded bool, err error) {
	disk := &Disk{Vault: storage.On(files)}
	v, err := disk.Load(d.start)
	if err != nil {
		return false, err
	}
	d.told, d.saved = v, true
	for _, b := range ballots {
		next, vote := v.On(b)
		if err = disk.Save(next); err == nil {
			v, d.told = next, next
			if !vote.OK && b.Act != Settle {
				d.t.Fatalf("%v of epoch %d was refused", b.Act, b.Epoch)
			}
		} else if errors.Is(err, errEnd) {
			return true, err
		}
	}
	return true, err
}

// check compares what the next process loads with what was told before. With the same
// identity it holds and promises no less; lost says that it may have another.
func (d *diskModel) check(next *modelFiles, lost bool, where string) {
	d.seen++
	v, err := (&Disk{Vault: storage.On(next)}).Load(d.start)
	if err != nil {
		d.t.Fatalf("%s: %v", where, err)
	}
	if !d.saved {
		return
	}
	if v.Self.ID != d.told.Self.ID {
		if !lost {
			d.t.Fatalf("%s: another identity, with files %q", where, slices.Sorted(maps.Keys(next.now)))
		}
		return
	}
	if v.Promised < d.told.Promised || v.Mark.Compare(d.told.Mark) < 0 || v.Phase != d.told.Phase || v.Self != d.told.Self {
		d.t.Fatalf("%s: as %+v it promises %d and holds %v, before as %+v %d and %v; files %q", where, v.Self, v.Promised, v.Mark,
			d.told.Self, d.told.Promised, d.told.Mark, slices.Sorted(maps.Keys(next.now)))
	}
	if v.Mark != (Mark{}) && string(v.Word.Desired) != d.words[v.Mark] {
		d.t.Fatalf("%s: holds %q as %v", where, v.Word.Desired, v.Mark)
	}
}

// A process that ends, or a machine that loses power, at any step of an acceptor's life, at
// each byte of each write, comes back with the same identity and with all that it ever
// told, whatever is kept or lost of names and files that were not synced.
func TestDiskEndsAnywhere(t *testing.T) {
	t.Parallel()
	d := newDiskModel(t)
	ballots := d.ballots(keepWords + 4)
	whole := newModelFiles()
	if _, err := d.live(whole, ballots); err != nil {
		t.Fatal(err)
	}
	for end := range whole.steps {
		d.told, d.saved = Acceptor{}, false
		files := newModelFiles()
		files.end = end
		if _, err := d.live(files, ballots); !errors.Is(err, errEnd) {
			t.Fatalf("step %d: %v", end, err)
		}
		files.outcomes(t, func(next *modelFiles) { d.check(next, false, fmt.Sprint("ended at step ", end)) })
	}
	t.Logf("%d steps, %d restarts", whole.steps, d.seen)
}

// A disk that is full from any step on, and has space again later or not: nothing is told
// that is not on it, and a loss of power at the end takes nothing that was told.
func TestDiskFullAnywhere(t *testing.T) {
	t.Parallel()
	d := newDiskModel(t)
	ballots := d.ballots(6)
	whole := newModelFiles()
	if _, err := d.live(whole, ballots); err != nil {
		t.Fatal(err)
	}
	for end := range whole.steps {
		d.told, d.saved = Acceptor{}, false
		files := newModelFiles()
		files.end, files.full = end, true
		if loaded, _ := d.live(files, ballots); !loaded {
			continue // it does not start
		}
		files.outcomes(t, func(next *modelFiles) { d.check(next, false, fmt.Sprint("full from step ", end)) })
	}
	t.Logf("%d steps, %d restarts", whole.steps, d.seen)
}

// The newest file of a kind does not match its checksum any more: the acceptor has lost what
// it promised. However often the process or the power ends while it makes a new identity,
// also at a first start of the whole system, the old identity never votes with less.
func TestDiskLosesAnywhere(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{kindOath, kindWord} {
		d := newDiskModel(t)
		ballots := d.ballots(4)
		whole := newModelFiles()
		if _, err := d.live(whole, ballots); err != nil {
			t.Fatal(err)
		}
		torn := restarted(whole.now, func(f *inode) []byte { return f.now })
		newest := slices.MaxFunc(slices.DeleteFunc(slices.Collect(maps.Keys(torn.now)), func(n string) bool {
			return !strings.HasPrefix(n, kind+".")
		}), strings.Compare)
		b := torn.now[newest].now
		b[len(b)-1]++
		told := d.told
		copied := func(m *modelFiles) *modelFiles { return restarted(m.now, func(f *inode) []byte { return f.now }) }
		var explore func(m *modelFiles, depth int, where string)
		explore = func(m *modelFiles, depth int, where string) {
			d.told, d.saved = told, true
			d.check(copied(m), true, where)
			steps := func() int {
				m := copied(m)
				(&Disk{Vault: storage.On(m)}).Load(d.start)
				return m.steps
			}()
			if depth == 0 {
				return
			}
			last := ""
			for end := range steps {
				m := copied(m)
				m.end = end
				(&Disk{Vault: storage.On(m)}).Load(d.start)
				now := fmt.Sprint(slices.Sorted(maps.Keys(m.now)), len(m.pending))
				if now == last && end%16 != 0 {
					continue // in the middle of a write of a file that is not read
				}
				last = now
				m.outcomes(t, func(next *modelFiles) {
					explore(next, depth-1, fmt.Sprintf("%s, ended at step %d", where, end))
				})
			}
		}
		explore(torn, 2, kind+" is torn")
		t.Logf("%s: %d restarts", kind, d.seen)
	}
}
