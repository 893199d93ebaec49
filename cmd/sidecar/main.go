// Command sidecar is the data plane: it stands beside every caller and every
// backend of a machine. (DESIGN 1)
package main

import (
	"os"

	"curlewwalk/internal/dataplane"
	"curlewwalk/internal/process"
	"curlewwalk/internal/settings"
)

func main() {
	set, exit := readSettings()
	process.Exit(exit)
	dataplane.New(set, nil).Run(readSettings)
}

// readSettings reads the settings of the command line, and of the file that it names.
func readSettings() (settings.Sidecar, settings.Exit) { return settings.ReadSidecar(os.Args[1:]) }
