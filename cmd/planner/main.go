// Command planner prints what a change of the configuration, the zones or the nodes would affect. It
// computes this from the state of a live control plane node, or from a saved state in a file. It does
// not change the system. (DESIGN 16)
//
// The exit code is 0 if the change affects nothing, 1 if it affects something, and 2 if the input is
// invalid.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"curlewwalk/internal/plan"
)

// The exit codes other than 0.
const (
	exitAffected = 1
	exitInvalid  = 2
)

type options struct {
	ControlPlane  string   `long:"core" description:"control address of a core to read the state from (IP:port)"`
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
		os.Exit(exitInvalid)
	}
	impact, err := assess(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "planner:", err)
		os.Exit(exitInvalid)
	}
	printImpact(impact, o.JSON)
	if impact.HasChanges() {
		os.Exit(exitAffected)
	}
}

// assess reads a snapshot, saves it if o.Save is set, and returns the impact of the change in o on it.
func assess(o options) (plan.Impact, error) {
	snapshot, err := readSnapshot(o)
	if err != nil {
		return plan.Impact{}, err
	}
	if o.Save != "" {
		if err := saveSnapshot(o.Save, snapshot); err != nil {
			return plan.Impact{}, err
		}
	}
	change := plan.Change{Evacuate: o.Evacuate, Restore: o.Restore, Remove: o.Remove, Add: o.Add}
	if o.Configuration != "" {
		if change.Configuration, err = os.ReadFile(o.Configuration); err != nil {
			return plan.Impact{}, err
		}
	}
	impact, violations := plan.Assess(snapshot, change)
	for _, v := range violations {
		err = errors.Join(err, fmt.Errorf("%s: %s", v.Path, v.Message))
	}
	return impact, err
}

// printImpact prints an impact to standard output, as text or as JSON.
func printImpact(impact plan.Impact, asJSON bool) {
	if !asJSON {
		fmt.Print(impact)
		return
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	enc.Encode(impact)
}
