package storage

import (
	"os"
	"path/filepath"
)

// Directory is a directory of files, and what of it survives a loss of power: what was written
// to a file does once File.Sync has returned; names that were created, renamed or removed do,
// each by itself, once Directory.Sync has returned.
type Directory interface {
	// Create creates a file, or truncates it.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	Read(name string) ([]byte, error)
	// List lists the names of all files, in any order.
	List() ([]string, error)
	// Sync makes the names durable.
	Sync() error
}

// File is a file that is being written.
type File interface {
	Write(b []byte) (int, error)
	// Sync makes the content durable.
	Sync() error
	Close() error
}

// osDirectory is a directory of the file system, by its path.
type osDirectory string

// openDirectory creates a directory if need be, and makes it durable: it too is a name in
// another directory.
func openDirectory(dir string) (osDirectory, error) {
	var parents []osDirectory // the directories that get a new name
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
