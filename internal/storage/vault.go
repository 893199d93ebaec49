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

// Vault is one data folder.
type Vault struct {
	files Files
	// Before, if set, comes before each version is written, which fails as it does.
	// Proofs use it for disks in trouble.
	Before func() error
}

// Open makes the folder if need be.
func Open(dir string) (*Vault, error) {
	f, err := openFolder(dir)
	if err != nil {
		return nil, eris.Wrap(err, "data folder")
	}
	return &Vault{files: f, Before: trouble()}, nil
}

// On is a vault in a folder of any making.
func On(files Files) *Vault { return &Vault{files: files} }

// Save stores one version of a kind; it returns once the version is on disk.
// Versions of a kind sort as text.
func (v *Vault) Save(kind, version string, data []byte) error {
	if v.Before != nil {
		if err := v.Before(); err != nil {
			return eris.Wrap(err, "write")
		}
	}
	sum := sha256.Sum256(data)
	body := append([]byte(hex.EncodeToString(sum[:])+"\n"), data...)
	name := kind + "." + version
	aside := name + ".aside"
	f, err := v.files.Create(aside)
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
	if err := v.files.Rename(aside, name); err != nil {
		return eris.Wrap(err, "rename")
	}
	return v.syncDir()
}

func (v *Vault) syncDir() error { return eris.Wrap(v.files.Sync(), "sync folder") }

// Newest reads the newest version of a kind. A version that does not match its
// checksum is set aside and reported as torn: what came before it must not be
// taken for the newest.
func (v *Vault) Newest(kind string) (version string, data []byte, torn bool, err error) {
	names, err := v.versions(kind)
	if err != nil || len(names) == 0 {
		return "", nil, false, err
	}
	version = names[len(names)-1]
	body, err := v.files.Read(kind + "." + version)
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

// SetAside renames all but the newest keep versions of a kind, so that none is read
// again and all stay for the operator to look at.
func (v *Vault) SetAside(kind string, keep int) error {
	names, err := v.versions(kind)
	if err != nil || len(names) <= keep {
		return err
	}
	names = names[:len(names)-keep]
	for _, n := range names {
		if err := v.files.Rename(kind+"."+n, "torn-"+kind+"."+n); err != nil {
			return eris.Wrap(err, "set aside")
		}
	}
	return v.syncDir()
}

// Thin removes all but the newest keep versions of a kind.
func (v *Vault) Thin(kind string, keep int) error {
	names, err := v.versions(kind)
	if err != nil {
		return err
	}
	for len(names) > keep {
		if err := v.files.Remove(kind + "." + names[0]); err != nil {
			return eris.Wrap(err, "thin")
		}
		names = names[1:]
	}
	return nil
}

func (v *Vault) versions(kind string) ([]string, error) {
	entries, err := v.files.List()
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
