package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Binaries is the path of a directory with the built programs.
type Binaries string

// Build builds the programs into a new temporary directory. The build includes the injection of
// clock jumps and disk faults. (DESIGN 17.2)
func Build() (Binaries, error) { return BuildWith("", nil) }

// SourceChange replaces Old by New in a source file. Old must occur exactly once in the file. File is
// relative to the root of the source tree.
type SourceChange struct{ File, Old, New string }

// BuildWith builds the programs from the source tree at root with source changes, which gives
// another version of the programs. The files of the tree are not modified.
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
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return Binaries(dir), nil
}

// overlay writes the changed files and an overlay file for the go command into dir. It returns
// the path of the overlay file.
func overlay(root, dir string, changes []SourceChange) (string, error) {
	texts, replacements := map[string]string{}, map[string]string{}
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
			texts[path], replacements[path] = string(b), filepath.Join(dir, fmt.Sprintf("changed-%d.go", i))
		}
		if strings.Count(texts[path], c.Old) != 1 {
			return "", fmt.Errorf("%s: %q does not occur exactly once", c.File, c.Old)
		}
		texts[path] = strings.Replace(texts[path], c.Old, c.New, 1)
	}
	for path, text := range texts {
		if err := os.WriteFile(replacements[path], []byte(text), 0o640); err != nil {
			return "", err
		}
	}
	b, err := json.Marshal(map[string]any{"Replace": replacements})
	if err != nil {
		return "", err
	}
	overlayFile := filepath.Join(dir, "overlay.json")
	return overlayFile, os.WriteFile(overlayFile, b, 0o640)
}

// Path returns the path of a program.
func (b Binaries) Path(program string) string { return filepath.Join(string(b), program) }

// Remove deletes the directory.
func (b Binaries) Remove() { os.RemoveAll(string(b)) }
