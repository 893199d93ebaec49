// Package storage keeps versions of documents as plain files in one directory: one file a
// version, which begins with a checksum. A version is written to a temporary file, synced and
// renamed, and the directory is synced: after a loss of power each version is either there as
// a whole or not at all, and one that Save has returned for is there. (DESIGN 6.1)
package storage

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// temporarySuffix ends the names of files that are being written.
	temporarySuffix = ".aside"
	// quarantinePrefix begins the names of files that are kept only for operators.
	quarantinePrefix = "torn-"
)

// Store keeps versions in one directory. It is not safe for concurrent use.
type Store struct {
	directory Directory
	// BeforeWrite, if set, is called before each version is written; its error fails the
	// write. Tests use it for disks with faults.
	BeforeWrite func() error
}

// Version is one version of a document as it was found on disk.
type Version struct {
	// Name is what it was saved under; empty if there is no version of that kind.
	Name string
	Data []byte
	// Corrupt is set, without data, if the file does not match its checksum.
	Corrupt bool
}

// Open makes a store in a directory of the file system, which it creates if need be.
func Open(dir string) (*Store, error) {
	d, err := openDirectory(dir)
	if err != nil {
		return nil, eris.Wrap(err, "open data directory")
	}
	return &Store{directory: d, BeforeWrite: diskFault()}, nil
}

// NewStore makes a store in any directory.
func NewStore(directory Directory) *Store { return &Store{directory: directory} }

// Save writes one version of a kind of document; it returns once the version is on disk.
// Versions of a kind are ordered by name, as text.
func (s *Store) Save(kind, version string, data []byte) error {
	if s.BeforeWrite != nil {
		if err := s.BeforeWrite(); err != nil {
			return eris.Wrap(err, "write version")
		}
	}
	name := fileName(kind, version)
	temporary := name + temporarySuffix
	if err := s.writeFile(temporary, append([]byte(checksum(data)+"\n"), data...)); err != nil {
		return eris.Wrap(err, "write temporary file")
	}
	if err := s.directory.Rename(temporary, name); err != nil {
		return eris.Wrap(err, "rename temporary file")
	}
	return s.syncDirectory()
}

// writeFile writes a file and syncs it.
func (s *Store) writeFile(name string, data []byte) error {
	f, err := s.directory.Create(name)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (s *Store) syncDirectory() error { return eris.Wrap(s.directory.Sync(), "sync directory") }

// Latest reads the latest version of a kind. If that is corrupt, no earlier one takes its
// place: what came before it must not be taken for the latest.
func (s *Store) Latest(kind string) (Version, error) {
	names, err := s.listVersions(kind)
	if err != nil || len(names) == 0 {
		return Version{}, err
	}
	latest := Version{Name: names[len(names)-1]}
	body, err := s.directory.Read(fileName(kind, latest.Name))
	if err != nil {
		return latest, eris.Wrap(err, "read version")
	}
	sum, data, ok := bytes.Cut(body, []byte("\n"))
	if !ok || string(sum) != checksum(data) {
		latest.Corrupt = true
		return latest, nil
	}
	latest.Data = data
	return latest, nil
}

// Quarantine renames all but the latest keep versions of a kind, so that none of them is read
// again and all stay for operators to look at.
func (s *Store) Quarantine(kind string, keep int) error {
	names, err := s.listVersions(kind)
	if err != nil || len(names) <= keep {
		return err
	}
	for _, n := range names[:len(names)-keep] {
		name := fileName(kind, n)
		if err := s.directory.Rename(name, quarantinePrefix+name); err != nil {
			return eris.Wrap(err, "quarantine version")
		}
	}
	return s.syncDirectory()
}

// Prune removes all but the latest keep versions of a kind.
func (s *Store) Prune(kind string, keep int) error {
	names, err := s.listVersions(kind)
	if err != nil || len(names) <= keep {
		return err
	}
	for _, n := range names[:len(names)-keep] {
		if err := s.directory.Remove(fileName(kind, n)); err != nil {
			return eris.Wrap(err, "prune version")
		}
	}
	return nil
}

// listVersions lists the names of the versions of a kind, the latest last.
func (s *Store) listVersions(kind string) ([]string, error) {
	entries, err := s.directory.List()
	if err != nil {
		return nil, eris.Wrap(err, "list versions")
	}
	var names []string
	for _, e := range entries {
		if n, ok := strings.CutPrefix(e, fileName(kind, "")); ok && !strings.HasSuffix(n, temporarySuffix) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names, nil
}

func fileName(kind, version string) string { return kind + "." + version }

// checksum is the first line of a file, in hex.
func checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
