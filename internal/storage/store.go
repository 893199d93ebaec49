// Package storage stores versions of documents as plain files in one directory. Each document is
// identified by its kind, a name that its user chooses. Each version is one file with the name
// "<kind>.<version>", which begins with a checksum. Save writes a version to a temporary file,
// syncs the file, renames it and syncs the directory. After a power failure each version is either
// complete or absent, and each version whose Save has returned is present. (DESIGN 6.1)
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
	// temporarySuffix is the suffix of the names of files that are being written.
	temporarySuffix = ".aside"
	// quarantinePrefix is the prefix of the names of files that are kept only for inspection by
	// operators. The store does not read them.
	quarantinePrefix = "torn-"
)

// Store stores versions of documents in one directory. It is not safe for concurrent use.
type Store struct {
	directory Directory
	// BeforeWrite, if set, is called before each version is written. If it returns an error,
	// the write fails. Open sets it in builds with the faultinjection tag, if a fault file is set.
	// Tests set it to simulate disk faults.
	BeforeWrite func() error
}

// Version is one version of a document as read from disk.
type Version struct {
	// Name is the version name that was passed to Save. It is empty if there is no version of
	// the kind.
	Name string
	Data []byte
	// Corrupt is set if the file does not match its checksum. Data is then nil.
	Corrupt bool
}

// Open returns a store in a directory of the file system. It creates the directory if it does
// not exist.
func Open(dir string) (*Store, error) {
	d, err := openDirectory(dir)
	if err != nil {
		return nil, eris.Wrap(err, "open data directory")
	}
	return &Store{directory: d, BeforeWrite: diskFault()}, nil
}

// NewStore returns a store in directory.
func NewStore(directory Directory) *Store { return &Store{directory: directory} }

// Save writes one version of a kind of document. When it returns without an error, the version
// is durable. Versions of a kind are ordered by name, compared as strings.
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

// writeFile writes a file and syncs its content.
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

// Latest returns the latest version of a kind. If that version is corrupt, Latest reports it as
// corrupt and does not fall back to an earlier version, because callers must not mistake an
// earlier version for the latest.
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

// Quarantine renames all but the latest keep versions of a kind. The store does not read the
// renamed files again; they remain for inspection by operators.
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

// Prune removes all but the latest keep versions of a kind. It does not sync the directory, so a
// removed version may be present again after a power failure.
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

// listVersions returns the names of the versions of a kind, the latest last.
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

// checksum returns the SHA-256 of data in hex, which is the first line of a file.
func checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
