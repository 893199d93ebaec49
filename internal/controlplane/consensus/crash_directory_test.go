package consensus

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"testing"

	"curlewwalk/internal/storage"
)

// errCrashed is returned by each step after the simulated crash of the process.
var errCrashed = errors.New("simulated crash of the process")

// errDiskFull is returned by each step while the disk is full.
var errDiskFull = errors.New("simulated disk is full")

// inode is a file with its current content and the content that is durable.
type inode struct {
	current, durable []byte
	dirty            bool
}

// nameChange is a change of the directory that no sync of the directory has made durable.
type nameChange struct {
	from, to string // from is empty for a created file, and to for a removed one
	file     *inode
}

// crashDirectory is an in-memory directory with exactly the guarantees of storage.Directory. It
// crashes after a number of steps. A step is the write of one byte or any other call.
type crashDirectory struct {
	current, durable map[string]*inode
	pending          []nameChange
	steps, crashAt   int
	// full makes all steps from crashAt on fail with errDiskFull instead of a crash.
	full bool
}

func newCrashDirectory() *crashDirectory {
	return &crashDirectory{current: map[string]*inode{}, durable: map[string]*inode{}, crashAt: -1}
}

// step counts a step. It returns an error once crashAt is reached.
func (d *crashDirectory) step() error {
	if d.crashAt >= 0 && d.steps >= d.crashAt {
		if d.full {
			return errDiskFull
		}
		return errCrashed
	}
	d.steps++
	return nil
}

func (d *crashDirectory) Create(name string) (storage.File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	file, ok := d.current[name]
	if !ok {
		file = &inode{}
		d.current[name] = file
		d.pending = append(d.pending, nameChange{to: name, file: file})
	}
	file.current, file.dirty = nil, true
	return crashFile{d, file}, nil
}

func (d *crashDirectory) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	file, ok := d.current[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(d.current, from)
	d.current[to] = file
	d.pending = append(d.pending, nameChange{from: from, to: to, file: file})
	return nil
}

func (d *crashDirectory) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.pending = append(d.pending, nameChange{from: name, file: d.current[name]})
	delete(d.current, name)
	return nil
}

func (d *crashDirectory) Read(name string) ([]byte, error) {
	if file, ok := d.current[name]; ok {
		return slices.Clone(file.current), nil
	}
	return nil, fs.ErrNotExist
}

func (d *crashDirectory) List() ([]string, error) { return slices.Collect(maps.Keys(d.current)), nil }

func (d *crashDirectory) Sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable, d.pending = maps.Clone(d.current), nil
	return nil
}

type crashFile struct {
	directory *crashDirectory
	inode     *inode
}

func (f crashFile) Write(b []byte) (int, error) {
	for i, c := range b {
		if err := f.directory.step(); err != nil {
			return i, err
		}
		f.inode.current = append(f.inode.current, c)
	}
	return len(b), nil
}

func (f crashFile) Sync() error {
	if err := f.directory.step(); err != nil {
		return err
	}
	f.inode.durable, f.inode.dirty = slices.Clone(f.inode.current), false
	return nil
}

// afterRestart returns the directory of the next process, with the given names and the content
// that was kept of each file.
func afterRestart(names map[string]*inode, content func(file *inode) []byte) *crashDirectory {
	next := newCrashDirectory()
	for name, file := range names {
		b := slices.Clone(content(file))
		next.current[name] = &inode{current: b, durable: b}
	}
	next.durable = maps.Clone(next.current)
	return next
}

// visitRestarts visits every directory that the next process may find. After a kill, the files
// are as they were. After a power loss, each unsynced change of a name is independently kept or
// lost, and the unsynced content of a file is present, missing, or truncated in the middle. The
// caller varies the byte at which the crash occurs.
func (d *crashDirectory) visitRestarts(t *testing.T, visit func(next *crashDirectory)) {
	visit(afterRestart(d.current, func(file *inode) []byte { return file.current }))
	if len(d.pending) > 12 {
		t.Fatalf("%d changes of names are not synced, which is too many to enumerate", len(d.pending))
	}
	contents := []func(file *inode) []byte{
		func(file *inode) []byte { return file.current },
		func(file *inode) []byte { return file.durable },
		func(file *inode) []byte {
			if !file.dirty {
				return file.current
			}
			return file.current[:len(file.current)/2]
		},
	}
	if !slices.ContainsFunc(slices.Collect(maps.Values(d.current)), func(file *inode) bool { return file.dirty }) {
		contents = contents[:1]
	}
	for applied := range 1 << len(d.pending) {
		names := maps.Clone(d.durable)
		for i, change := range d.pending {
			if applied&(1<<i) == 0 {
				continue
			}
			if names[change.from] == change.file {
				delete(names, change.from)
			}
			if change.to != "" {
				names[change.to] = change.file
			}
		}
		for _, content := range contents {
			visit(afterRestart(names, content))
		}
	}
}
