// Command planner shows what a change would move, from a live core's state or
// from a file, and changes nothing. Exit codes: 0 nothing moves, 1 something
// moves, 2 bad input. (DESIGN 16)
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"curlewwalk/internal/plan"
)

type options struct {
	Core          string   `long:"core" description:"control address of a core to read the state from (IP:port)"`
	State         string   `long:"state" description:"file to read the state from, as --save wrote it"`
	Save          string   `long:"save" description:"write the state that was read to a file"`
	Configuration string   `long:"desired" description:"file with a candidate configuration"`
	Evacuate      []string `long:"empty" description:"a locality to be emptied"`
	Restore       []string `long:"take-back" description:"a locality to be taken back"`
	Remove        []string `long:"lose" description:"wire address of a node or core that is lost"`
	Add           []string `long:"gain" description:"wire address of a node that comes"`
	JSON          bool     `long:"json" description:"print the moves as JSON"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	m, err := assess(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "planner:", err)
		os.Exit(2)
	}
	if o.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		enc.Encode(m)
	} else {
		fmt.Print(m)
	}
	if m.HasChanges() {
		os.Exit(1)
	}
}

func assess(o options) (m plan.Impact, err error) {
	s, err := readSnapshot(o)
	if err != nil {
		return m, err
	}
	if o.Save != "" {
		b, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return m, err
		}
		if err := os.WriteFile(o.Save, b, 0o640); err != nil {
			return m, err
		}
	}
	c := plan.Change{Evacuate: o.Evacuate, Restore: o.Restore, Remove: o.Remove, Add: o.Add}
	if o.Configuration != "" {
		if c.Configuration, err = os.ReadFile(o.Configuration); err != nil {
			return m, err
		}
	}
	m, faults := plan.Assess(s, c)
	for _, f := range faults {
		err = errors.Join(err, fmt.Errorf("%s: %s", f.Path, f.Message))
	}
	return m, err
}
