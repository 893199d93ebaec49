// Package mutation has deliberate defects, each of which a named proof must catch.
// They are only ever applied to a scratch copy. (DESIGN 14.6)
package mutation

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Mutation is one change for the worse.
type Mutation struct {
	// Invariant is the line of the brief that it breaks.
	Invariant string
	// File is changed: Old, which stands there once, becomes New.
	File, Old, New string
	// Package and Test name the proof; Args are more flags for it.
	Package, Test string
	Args          []string
}

// Check reports whether the defect can still be put into a tree.
func (m Mutation) Check(root string) error {
	b, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return err
	}
	if n := strings.Count(string(b), m.Old); n != 1 {
		return fmt.Errorf("%s: %q stands there %d times", m.File, m.Old, n)
	}
	return nil
}

// Builds reports whether the package that the defect is in builds with it; the tree stays as
// it is, and dir takes what is written for it.
func (m Mutation) Builds(root, dir string) (output string, err error) {
	path, err := filepath.Abs(filepath.Join(root, m.File))
	if err != nil {
		return "", err
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(whole), m.Old, m.New, 1)), 0o644); err != nil {
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

// Killed puts the defect into a tree, runs its proof there, and takes it out
// again. It is caught if the tree still builds and the proof fails.
func (m Mutation) Killed(root string) (killed bool, output string, err error) {
	if err := m.Check(root); err != nil {
		return false, "", err
	}
	path := filepath.Join(root, m.File)
	whole, err := os.ReadFile(path)
	if err != nil {
		return false, "", err
	}
	defer os.WriteFile(path, whole, 0o644)
	if err := os.WriteFile(path, []byte(strings.Replace(string(whole), m.Old, m.New, 1)), 0o644); err != nil {
		return false, "", err
	}
	run := func(args ...string) (string, error) {
		cmd := exec.Command("go", args...)
		cmd.Dir = root
		out, err := cmd.CombinedOutput()
		return string(out), err
	}
	if out, err := run("build", "./..."); err != nil {
		return false, out, fmt.Errorf("with the defect it does not build")
	}
	output, err = run(append([]string{"test", "-count=1", m.Package, "-run", "^" + m.Test + "$"}, m.Args...)...)
	return err != nil, output, nil
}
