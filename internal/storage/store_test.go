package storage

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// openWith opens a store with versions "1" to "n" of a kind.
func openWith(t *testing.T, kind string, n int) (*Store, string) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "made", "if need be")
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

// fileNames lists the files of a directory, sorted.
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

// The latest version of a kind is read, whatever there is of others and of writes that were
// interrupted.
func TestLatest(t *testing.T) {
	s, dir := openWith(t, "state", 3)
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
				t.Errorf("%+v %v", got, err)
			}
		})
	}
}

// A corrupt version is reported, and no earlier one takes its place.
func TestLatestIsCorrupt(t *testing.T) {
	for name, content := range map[string]string{"changed": checksum([]byte("a")) + "\nb", "truncated": checksum([]byte("a")), "empty": ""} {
		t.Run(name, func(t *testing.T) {
			s, dir := openWith(t, "state", 2)
			if err := os.WriteFile(filepath.Join(dir, "state.2"), []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := s.Latest("state")
			if err != nil || got.Name != "2" || !got.Corrupt || got.Data != nil {
				t.Errorf("%+v %v", got, err)
			}
		})
	}
}

// Prune removes earlier versions, Quarantine keeps them under names that are not read.
func TestPruneAndQuarantine(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *Store) error
		want   []string
	}{
		{"prune", func(s *Store) error { return s.Prune("state", 2) }, []string{"state.3", "state.4"}},
		{"prune fewer", func(s *Store) error { return s.Prune("state", 9) }, []string{"state.1", "state.2", "state.3", "state.4"}},
		{"quarantine", func(s *Store) error { return s.Quarantine("state", 3) }, []string{"state.2", "state.3", "state.4", "torn-state.1"}},
		{"quarantine all", func(s *Store) error { return s.Quarantine("state", 0) }, []string{"torn-state.1", "torn-state.2", "torn-state.3", "torn-state.4"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, dir := openWith(t, "state", 4)
			if err := c.change(s); err != nil {
				t.Fatal(err)
			}
			if got := fileNames(t, dir); !slices.Equal(got, c.want) {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// An error of BeforeWrite fails the write, and leaves no file.
func TestBeforeWriteFails(t *testing.T) {
	s, dir := openWith(t, "state", 1)
	full := errors.New("no space left")
	s.BeforeWrite = func() error { return full }
	if err := s.Save("state", "2", nil); !errors.Is(err, full) {
		t.Errorf("%v", err)
	}
	if got := fileNames(t, dir); !slices.Equal(got, []string{"state.1"}) {
		t.Errorf("%q", got)
	}
}
