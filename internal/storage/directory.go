package storage

import (
	"os"
	"path/filepath"
)

// Directory is one folder of files, and what lasts of it: what was written to a file lasts
// once that was synced; names that were made, changed or removed last, each by itself,
// once the folder was synced.
type Directory interface {
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

// osDirectory is a folder of the file system.
type osDirectory string

// openDirectory makes a folder if need be, and has it last: a folder too is a name in
// another one.
func openDirectory(dir string) (osDirectory, error) {
	var parents []osDirectory // the folders that get a new name
	for path := dir; ; path = filepath.Dir(path) {
		if _, err := os.Stat(path); err == nil || path == filepath.Dir(path) {
			break
		}
		parents = append(parents, osDirectory(filepath.Dir(path)))
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return "", err
	}
	for _, d := range parents {
		if err := d.Sync(); err != nil {
			return "", err
		}
	}
	return osDirectory(dir), nil
}

func (d osDirectory) path(name string) string { return filepath.Join(string(d), name) }

// Create implements Files.
func (d osDirectory) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
}

// Rename implements Files.
func (d osDirectory) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements Files.
func (d osDirectory) Remove(name string) error { return os.Remove(d.path(name)) }

// Read implements Files.
func (d osDirectory) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// List implements Files.
func (d osDirectory) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
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
func (d osDirectory) Sync() error {
	directory, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}
