package storage

import (
	"os"
	"path/filepath"
)

// Files is one folder of files, and what lasts of it: what was written to a file lasts
// once that was synced; names that were made, changed or removed last, each by itself,
// once the folder was synced.
type Files interface {
	// Create makes a file, or empties it.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	Read(name string) ([]byte, error)
	// List lists the names of all files.
	List() ([]string, error)
	// Sync has the names last.
	Sync() error
}

// File is a file that is written.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// folder is a folder of the file system.
type folder string

// openFolder makes a folder if need be, and has it last: a folder too is a name in
// another one.
func openFolder(dir string) (folder, error) {
	var within []folder // the folders that get a new name
	for d := dir; ; d = filepath.Dir(d) {
		if _, err := os.Stat(d); err == nil || d == filepath.Dir(d) {
			break
		}
		within = append(within, folder(filepath.Dir(d)))
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return "", err
	}
	for _, f := range within {
		if err := f.Sync(); err != nil {
			return "", err
		}
	}
	return folder(dir), nil
}

func (f folder) path(name string) string { return filepath.Join(string(f), name) }

// Create implements Files.
func (f folder) Create(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
}

// Rename implements Files.
func (f folder) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// Remove implements Files.
func (f folder) Remove(name string) error { return os.Remove(f.path(name)) }

// Read implements Files.
func (f folder) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// List implements Files.
func (f folder) List() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range entries {
		out = append(out, e.Name())
	}
	return out, nil
}

// Sync implements Files.
func (f folder) Sync() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
