// Package storage keeps versions as plain files: one file a version, written
// aside, synced, renamed, and the folder synced. (DESIGN 6.1)
package storage

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Store is one data folder.
type Store struct {
	directory Directory
	// BeforeWrite, if set, comes before each version is written, which fails as it does.
	// Proofs use it for disks in trouble.
	BeforeWrite func() error
}

// Open makes the folder if need be.
func Open(dir string) (*Store, error) {
	d, err := openDirectory(dir)
	if err != nil {
		return nil, eris.Wrap(err, "data folder")
	}
	return &Store{directory: d, BeforeWrite: trouble()}, nil
}

// NewStore is a vault in a folder of any making.
func NewStore(files Directory) *Store { return &Store{directory: files} }

// Save stores one version of a kind; it returns once the version is on disk.
// Versions of a kind sort as text.
func (s *Store) Save(kind, version string, data []byte) error {
	if s.BeforeWrite != nil {
		if err := s.BeforeWrite(); err != nil {
			return eris.Wrap(err, "write")
		}
	}
	sum := sha256.Sum256(data)
	body := append([]byte(hex.EncodeToString(sum[:])+"\n"), data...)
	name := kind + "." + version
	temporary := name + ".aside"
	f, err := s.directory.Create(temporary)
	if err != nil {
		return eris.Wrap(err, "write aside")
	}
	_, err = f.Write(body)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return eris.Wrap(err, "write aside")
	}
	if err := s.directory.Rename(temporary, name); err != nil {
		return eris.Wrap(err, "rename")
	}
	return s.syncDirectory()
}

func (s *Store) syncDirectory() error { return eris.Wrap(s.directory.Sync(), "sync folder") }

// Latest reads the newest version of a kind. A version that does not match its
// checksum is set aside and reported as torn: what came before it must not be
// taken for the newest.
func (s *Store) Latest(kind string) (version string, data []byte, corrupt bool, err error) {
	names, err := s.listVersions(kind)
	if err != nil || len(names) == 0 {
		return "", nil, false, err
	}
	version = names[len(names)-1]
	body, err := s.directory.Read(kind + "." + version)
	if err != nil {
		return version, nil, false, eris.Wrap(err, "read")
	}
	sum, data, ok := bytes.Cut(body, []byte("\n"))
	want := sha256.Sum256(data)
	if !ok || string(sum) != hex.EncodeToString(want[:]) {
		return version, nil, true, nil
	}
	return version, data, false, nil
}

// Quarantine renames all but the newest keep versions of a kind, so that none is read
// again and all stay for the operator to look at.
func (s *Store) Quarantine(kind string, keep int) error {
	names, err := s.listVersions(kind)
	if err != nil || len(names) <= keep {
		return err
	}
	names = names[:len(names)-keep]
	for _, n := range names {
		if err := s.directory.Rename(kind+"."+n, "torn-"+kind+"."+n); err != nil {
			return eris.Wrap(err, "set aside")
		}
	}
	return s.syncDirectory()
}

// Prune removes all but the newest keep versions of a kind.
func (s *Store) Prune(kind string, keep int) error {
	names, err := s.listVersions(kind)
	if err != nil {
		return err
	}
	for len(names) > keep {
		if err := s.directory.Remove(kind + "." + names[0]); err != nil {
			return eris.Wrap(err, "thin")
		}
		names = names[1:]
	}
	return nil
}

func (s *Store) listVersions(kind string) ([]string, error) {
	entries, err := s.directory.List()
	if err != nil {
		return nil, eris.Wrap(err, "list")
	}
	var out []string
	for _, e := range entries {
		if n, ok := strings.CutPrefix(e, kind+"."); ok && !strings.HasSuffix(n, ".aside") {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out, nil
}
