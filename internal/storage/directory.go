package storage

import (
	"os"
	"path/filepath"
)

// Directory is a directory of files. The content of a file survives a power failure once
// File.Sync has returned. The creation, renaming or removal of a file survives a power failure
// once Directory.Sync has returned. Before that, each of these changes may survive or be lost
// independently of the others.
type Directory interface {
	// Create opens a file for writing. It creates the file, or truncates an existing one.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	Read(name string) ([]byte, error)
	// List returns the names of all files, in any order.
	List() ([]string, error)
	// Sync makes created, renamed and removed names durable.
	Sync() error
}

// File is a file that is open for writing.
type File interface {
	Write(b []byte) (int, error)
	// Sync makes the content durable.
	Sync() error
	Close() error
}

// osDirectory is the path of a directory of the file system.
type osDirectory string

// openDirectory creates dir and its missing parents. It syncs each directory that received a new
// entry, so that the new directories survive a power failure.
func openDirectory(dir string) (osDirectory, error) {
	var parents []osDirectory // the directories that receive a new entry
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

// Create implements Directory.
func (d osDirectory) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
}

// Rename implements Directory.
func (d osDirectory) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements Directory.
func (d osDirectory) Remove(name string) error { return os.Remove(d.path(name)) }

// Read implements Directory.
func (d osDirectory) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// List implements Directory.
func (d osDirectory) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Sync implements Directory.
func (d osDirectory) Sync() error {
	directory, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}
