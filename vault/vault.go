// Package vault keeps versions as plain files: one file a version, written
// aside, synced, renamed, and the folder synced. (DESIGN 6.1)
package vault

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Vault is one data folder.
type Vault struct {
	dir string
	// Before, if set, comes before each version is written, which fails as it does.
	// Proofs use it for disks in trouble.
	Before func() error
}

// Open makes the folder if need be.
func Open(dir string) (*Vault, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, eris.Wrap(err, "data folder")
	}
	return &Vault{dir: dir, Before: trouble()}, nil
}

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
	name := filepath.Join(v.dir, kind+"."+version)
	aside := name + ".aside"
	f, err := os.OpenFile(aside, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
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
	if err := os.Rename(aside, name); err != nil {
		return eris.Wrap(err, "rename")
	}
	return v.syncDir()
}

func (v *Vault) syncDir() error {
	d, err := os.Open(v.dir)
	if err != nil {
		return eris.Wrap(err, "sync folder")
	}
	defer d.Close()
	return eris.Wrap(d.Sync(), "sync folder")
}

// Newest reads the newest version of a kind. A version that does not match its
// checksum is set aside and reported as torn: what came before it must not be
// taken for the newest.
func (v *Vault) Newest(kind string) (version string, data []byte, torn bool, err error) {
	names, err := v.versions(kind)
	if err != nil || len(names) == 0 {
		return "", nil, false, err
	}
	version = names[len(names)-1]
	name := filepath.Join(v.dir, kind+"."+version)
	body, err := os.ReadFile(name)
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

// SetAside renames every version of a kind, so that none is read again and
// all stay for the operator to look at.
func (v *Vault) SetAside(kind string) error {
	names, err := v.versions(kind)
	if err != nil {
		return err
	}
	for _, n := range names {
		from := filepath.Join(v.dir, kind+"."+n)
		if err := os.Rename(from, filepath.Join(v.dir, "torn-"+kind+"."+n)); err != nil {
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
		if err := os.Remove(filepath.Join(v.dir, kind+"."+names[0])); err != nil {
			return eris.Wrap(err, "thin")
		}
		names = names[1:]
	}
	return nil
}

func (v *Vault) versions(kind string) ([]string, error) {
	entries, err := os.ReadDir(v.dir)
	if err != nil {
		return nil, eris.Wrap(err, "list")
	}
	var out []string
	for _, e := range entries {
		if n, ok := strings.CutPrefix(e.Name(), kind+"."); ok && !strings.HasSuffix(n, ".aside") {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out, nil
}
