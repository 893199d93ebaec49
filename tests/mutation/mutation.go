package mutation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Mutation is a deliberate defect in one source file.
type Mutation struct {
	// Invariant is the failure that the mutation causes, an entry of the users' list "What must
	// never happen".
	Invariant string
	// File is the mutated file, relative to the root of the tree. Old must occur exactly once in
	// it and is replaced by New.
	File, Old, New string
	// Package and Test name the test that must fail. Args are additional arguments of go test.
	Package, Test string
	Args          []string
}

// Check returns an error if the mutation cannot be applied to the tree at root.
func (m Mutation) Check(root string) error {
	b, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return err
	}
	if n := strings.Count(string(b), m.Old); n != 1 {
		return fmt.Errorf("%s: %q occurs %d times, want once", m.File, m.Old, n)
	}
	return nil
}

// apply returns the mutated text of the file.
func (m Mutation) apply(original []byte) []byte {
	return bytes.Replace(original, []byte(m.Old), []byte(m.New), 1)
}

// Builds builds the mutated package and returns the output of the build. It does not change the
// tree: the mutated file is written to dir.
func (m Mutation) Builds(root, dir string) (output string, err error) {
	path, err := filepath.Abs(filepath.Join(root, m.File))
	if err != nil {
		return "", err
	}
	original, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(changed, m.apply(original), 0o644); err != nil {
		return "", err
	}
	replace, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(overlay, replace, 0o644); err != nil {
		return "", err
	}
	cmd := exec.Command("go", "build", "-overlay", overlay, "-o", os.DevNull, "./"+filepath.Dir(m.File))
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// Killed applies the mutation to the tree at root, runs its test there, and restores the file. The
// mutation is killed if the mutated tree builds and the test fails. output is the output of the
// test, or of the build if it failed.
func (m Mutation) Killed(root string) (killed bool, output string, err error) {
	if err := m.Check(root); err != nil {
		return false, "", err
	}
	path := filepath.Join(root, m.File)
	original, err := os.ReadFile(path)
	if err != nil {
		return false, "", err
	}
	defer os.WriteFile(path, original, 0o644)
	if err := os.WriteFile(path, m.apply(original), 0o644); err != nil {
		return false, "", err
	}
	run := func(args ...string) (string, error) {
		cmd := exec.Command("go", args...)
		cmd.Dir = root
		out, err := cmd.CombinedOutput()
		return string(out), err
	}
	if out, err := run("build", "./..."); err != nil {
		return false, out, fmt.Errorf("mutated tree does not build")
	}
	output, err = run(append([]string{"test", "-count=1", m.Package, "-run", "^" + m.Test + "$"}, m.Args...)...)
	return err != nil, output, nil
}
