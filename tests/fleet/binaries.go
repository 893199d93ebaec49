package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Binaries is a directory with the built programs.
type Binaries string

// Build builds the programs into a new directory, with wall clocks that can be made to jump and
// disks that can be made to fail. (DESIGN 17.2)
func Build() (Binaries, error) { return BuildWith("", nil) }

// SourceChange replaces Old, which must occur once in a file, by New. File is relative to the
// root of the tree.
type SourceChange struct{ File, Old, New string }

// BuildWith builds the programs from the tree at root with some source changes, as another
// version of them. The tree itself is not touched.
func BuildWith(root string, changes []SourceChange) (Binaries, error) {
	dir, err := os.MkdirTemp("", "curlewwalk-bin-")
	if err != nil {
		return "", err
	}
	args := []string{"build", "-tags", "faultinjection", "-o", dir}
	if raceDetector {
		args = append(args, "-race")
	}
	if len(changes) > 0 {
		overlay, err := overlay(root, dir, changes)
		if err != nil {
			return "", err
		}
		args = append(args, "-overlay", overlay)
	}
	out, err := exec.Command("go", append(args, "curlewwalk/cmd/controlplane", "curlewwalk/cmd/sidecar", "curlewwalk/cmd/planner")...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return Binaries(dir), nil
}

// overlay writes the changed files and the overlay file for the go command, whose path it
// returns.
func overlay(root, dir string, changes []SourceChange) (string, error) {
	texts, replace := map[string]string{}, map[string]string{}
	for i, c := range changes {
		path, err := filepath.Abs(filepath.Join(root, c.File))
		if err != nil {
			return "", err
		}
		if _, ok := texts[path]; !ok {
			b, err := os.ReadFile(path)
			if err != nil {
				return "", err
			}
			texts[path], replace[path] = string(b), filepath.Join(dir, fmt.Sprintf("changed-%d.go", i))
		}
		if strings.Count(texts[path], c.Old) != 1 {
			return "", fmt.Errorf("%s: %q does not occur exactly once", c.File, c.Old)
		}
		texts[path] = strings.Replace(texts[path], c.Old, c.New, 1)
	}
	for path, text := range texts {
		if err := os.WriteFile(replace[path], []byte(text), 0o640); err != nil {
			return "", err
		}
	}
	b, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	list := filepath.Join(dir, "overlay.json")
	return list, os.WriteFile(list, b, 0o640)
}

// Path is the path of a program.
func (b Binaries) Path(program string) string { return filepath.Join(string(b), program) }

// Remove deletes the directory.
func (b Binaries) Remove() { os.RemoveAll(string(b)) }
