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

// Defect is one change for the worse.
type Defect struct {
	// Line is the line of the brief that it breaks.
	Line string
	// File is changed: Old, which stands there once, becomes New.
	File, Old, New string
	// Package and Test name the proof; Args are more flags for it.
	Package, Test string
	Args          []string
}

// Check tells whether the defect can still be put into a tree.
func (d Defect) Check(root string) error {
	b, err := os.ReadFile(filepath.Join(root, d.File))
	if err != nil {
		return err
	}
	if n := strings.Count(string(b), d.Old); n != 1 {
		return fmt.Errorf("%s: %q stands there %d times", d.File, d.Old, n)
	}
	return nil
}

// Builds tells whether the package that the defect is in builds with it; the tree stays as
// it is, and dir takes what is written for it.
func (d Defect) Builds(root, dir string) (said string, err error) {
	path, err := filepath.Abs(filepath.Join(root, d.File))
	if err != nil {
		return "", err
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(whole), d.Old, d.New, 1)), 0o644); err != nil {
		return "", err
	}
	replace, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(overlay, replace, 0o644); err != nil {
		return "", err
	}
	cmd := exec.Command("go", "build", "-overlay", overlay, "-o", os.DevNull, "./"+filepath.Dir(d.File))
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// Caught puts the defect into a tree, runs its proof there, and takes it out
// again. It is caught if the tree still builds and the proof fails.
func (d Defect) Caught(root string) (caught bool, said string, err error) {
	if err := d.Check(root); err != nil {
		return false, "", err
	}
	path := filepath.Join(root, d.File)
	whole, err := os.ReadFile(path)
	if err != nil {
		return false, "", err
	}
	defer os.WriteFile(path, whole, 0o644)
	if err := os.WriteFile(path, []byte(strings.Replace(string(whole), d.Old, d.New, 1)), 0o644); err != nil {
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
	said, err = run(append([]string{"test", "-count=1", d.Package, "-run", "^" + d.Test + "$"}, d.Args...)...)
	return err != nil, said, nil
}
