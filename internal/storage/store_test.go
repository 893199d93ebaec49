package storage

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// openWithVersions opens a store in a new directory and saves versions "1" to "n" of a kind.
func openWithVersions(t *testing.T, kind string, n int) (*Store, string) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "missing", "directory")
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= n; i++ {
		name := string(rune('0' + i))
		if err := s.Save(kind, name, []byte("version "+name)); err != nil {
			t.Fatal(err)
		}
	}
	return s, dir
}

// fileNames returns the names of the files in a directory, sorted.
func fileNames(t *testing.T, dir string) (names []string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

// Latest returns the latest version of a kind, and ignores other kinds and the temporary files of
// interrupted writes.
func TestLatest(t *testing.T) {
	s, dir := openWithVersions(t, "state", 3)
	if err := s.Save("promise", "9", []byte("other kind")); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "state.4.aside"), []byte("interrupted"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		kind, name, data string
	}{{"state", "3", "version 3"}, {"promise", "9", "other kind"}, {"none", "", ""}} {
		t.Run(c.kind, func(t *testing.T) {
			got, err := s.Latest(c.kind)
			if err != nil || got.Name != c.name || string(got.Data) != c.data || got.Corrupt {
				t.Errorf("got %+v, %v, want the latest version of the kind and its data", got, err)
			}
		})
	}
}

// Latest reports a corrupt latest version and does not fall back to an earlier one.
func TestLatestIsCorrupt(t *testing.T) {
	for name, content := range map[string]string{"modified": checksum([]byte("a")) + "\nb", "truncated": checksum([]byte("a")), "empty": ""} {
		t.Run(name, func(t *testing.T) {
			s, dir := openWithVersions(t, "state", 2)
			if err := os.WriteFile(filepath.Join(dir, "state.2"), []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := s.Latest("state")
			if err != nil || got.Name != "2" || !got.Corrupt || got.Data != nil {
				t.Errorf("got %+v, %v, want version 2 reported as corrupt, without data", got, err)
			}
		})
	}
}

// Prune removes earlier versions. Quarantine renames them so that they are no longer read.
func TestPruneAndQuarantine(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *Store) error
		want   []string
	}{
		{"prune", func(s *Store) error { return s.Prune("state", 2) }, []string{"state.3", "state.4"}},
		{"prune with fewer versions than kept", func(s *Store) error { return s.Prune("state", 9) }, []string{"state.1", "state.2", "state.3", "state.4"}},
		{"quarantine", func(s *Store) error { return s.Quarantine("state", 3) }, []string{"state.2", "state.3", "state.4", "torn-state.1"}},
		{"quarantine every version", func(s *Store) error { return s.Quarantine("state", 0) }, []string{"torn-state.1", "torn-state.2", "torn-state.3", "torn-state.4"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, dir := openWithVersions(t, "state", 4)
			if err := c.change(s); err != nil {
				t.Fatal(err)
			}
			if got := fileNames(t, dir); !slices.Equal(got, c.want) {
				t.Errorf("got files %q, want %q", got, c.want)
			}
		})
	}
}

// If BeforeWrite returns an error, Save fails with that error and creates no file.
func TestBeforeWriteFails(t *testing.T) {
	s, dir := openWithVersions(t, "state", 1)
	errFull := errors.New("no space left")
	s.BeforeWrite = func() error { return errFull }
	if err := s.Save("state", "2", nil); !errors.Is(err, errFull) {
		t.Errorf("got error %v, want the error of BeforeWrite", err)
	}
	if got := fileNames(t, dir); !slices.Equal(got, []string{"state.1"}) {
		t.Errorf("got files %q, want only state.1", got)
	}
}
