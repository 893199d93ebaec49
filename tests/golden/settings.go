package golden

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

// Settings compares the names, kinds and defaults of settings with a golden file. set is a pointer to
// a struct with the tags of go-flags.
func Settings(t *testing.T, name string, set any) {
	t.Helper()
	parser := flags.NewNamedParser("program", flags.None)
	group, err := parser.AddGroup("settings", "", set)
	if err != nil {
		t.Fatal(err)
	}
	lines := options(group)
	slices.Sort(lines)
	Check(t, name, []byte(strings.Join(lines, "\n")+"\n"))
}

// options returns one line for each option of a group and of the groups within it.
func options(group *flags.Group) (lines []string) {
	for _, o := range group.Options() {
		short := ""
		if o.ShortName != 0 {
			short = string(o.ShortName)
		}
		lines = append(lines, fmt.Sprintf("long=%s short=%s ini=%s kind=%s default=%q choices=%q required=%v",
			o.LongName, short, o.Field().Tag.Get("ini-name"), o.Field().Type.Kind(), o.Default, o.Choices, o.Required))
	}
	for _, inner := range group.Groups() {
		lines = append(lines, options(inner)...)
	}
	return lines
}
