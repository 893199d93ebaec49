package outernames

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// root is the root of the tree, relative to this package.
const root = "../.."

// listFile lists the names, one per line: kind, directory, quoted text and count, separated by tabs.
const listFile = "testdata/OUTER-NAMES"

var update = flag.Bool("update", false, "add new names to the list; names are never removed")

// TestOuterNamesRemain fails if the code no longer has a name on which other processes, stored data,
// operators or their tools depend.
func TestOuterNamesRemain(t *testing.T) {
	names, err := Collect(root)
	if err != nil {
		t.Fatal(err)
	}
	listed, err := readList(listFile)
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		for name, count := range names {
			listed[name] = max(listed[name], count)
		}
		if err := writeList(listFile, listed); err != nil {
			t.Fatal(err)
		}
	}
	for _, problem := range missing(listed, names) {
		t.Error(problem)
	}
	if len(listed) < minNames {
		t.Errorf("the list has %d names, want at least %d", len(listed), minNames)
	}
}

// minNames is the number of names of the first list. Names are never removed, so a shorter list is
// truncated.
const minNames = 1355

// TestMissingNameIsFound checks that a missing name of each kind is reported, and that the text of
// an error or a log message may change.
func TestMissingNameIsFound(t *testing.T) {
	const source = `package p

import "errors"

type message struct {
	Term uint64 ` + "`msgpack:\"promised\" json:\"epoch\"`" + `
	Slot int ` + "`long:\"slot\"`" + `
}

const header = "Curlewwalk-Outcome"

var err = errors.New("free wording")

func f() {
	logger.Info("free wording", "revision", 1)
	metrics.Gauge("nodes", "Nodes in the view.", "zone")
	mux.HandleFunc("GET /v1/state", nil)
	reason = "refused for a reason"
}
`
	before := Count{}
	if err := before.addFile("pkg", "planted.go", source); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ name, remove string }{
		{"message field", "promised"},
		{"document field", "epoch"},
		{"setting", "slot"},
		{"printed field", "Slot"},
		{"header", "Curlewwalk-Outcome"},
		{"log attribute", "revision"},
		{"metric", "nodes"},
		{"help of a metric", "Nodes in the view."},
		{"label", "zone"},
		{"path", "/v1/state"},
		{"text", "refused for a reason"},
	} {
		t.Run(test.name, func(t *testing.T) {
			after := Count{}
			if err := after.addFile("pkg", "planted.go", strings.ReplaceAll(source, test.remove, "other")); err != nil {
				t.Fatal(err)
			}
			if problems := missing(before, after); len(problems) != 1 {
				t.Errorf("got problems %v, want exactly one", problems)
			}
		})
	}
	t.Run("free wording", func(t *testing.T) {
		after := Count{}
		if err := after.addFile("pkg", "planted.go", strings.ReplaceAll(source, "free wording", "other words")); err != nil {
			t.Fatal(err)
		}
		if problems := missing(before, after); len(problems) != 0 {
			t.Errorf("got problems %v, want none", problems)
		}
	})
}

// missing returns a message for each name that occurs less often than listed.
func missing(listed, found Count) (problems []string) {
	for name, count := range listed {
		if found[name] < count {
			problems = append(problems, fmt.Sprintf("%s %s: %d in %s, listed %d times", name.Kind, name.Text, found[name], name.Directory, count))
		}
	}
	slices.Sort(problems)
	return problems
}

// readList reads the list of names.
func readList(file string) (Count, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	listed := Count{}
	for line := range strings.Lines(string(content)) {
		cells := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		if len(cells) != 4 {
			return nil, fmt.Errorf("%s: line %q has %d columns, want 4", file, line, len(cells))
		}
		count, err := strconv.Atoi(cells[3])
		if err != nil {
			return nil, fmt.Errorf("%s: count in line %q: %w", file, line, err)
		}
		listed[Name{Kind: cells[0], Directory: cells[1], Text: cells[2]}] = count
	}
	return listed, nil
}

// writeList writes the list of names, sorted.
func writeList(file string, listed Count) error {
	var lines []string
	for name, count := range listed {
		lines = append(lines, fmt.Sprintf("%s\t%d\n", name, count))
	}
	slices.Sort(lines)
	return os.WriteFile(file, []byte(strings.Join(lines, "")), 0o600)
}
