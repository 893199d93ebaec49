// Command sidecar runs the data plane on one machine. It is the proxy of every
// caller and every backend on that machine. (DESIGN 1)
package main

import (
	"os"

	"curlewwalk/internal/dataplane"
	"curlewwalk/internal/process"
	"curlewwalk/internal/settings"
)

func main() {
	cfg, exit := readSettings()
	process.Exit(exit)
	dataplane.New(cfg, nil).Run(readSettings)
}

// readSettings reads the settings from the command line and from the file that it names.
func readSettings() (settings.Sidecar, settings.Exit) { return settings.ReadSidecar(os.Args[1:]) }
