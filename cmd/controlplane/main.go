// Command controlplane runs one replica of the control plane. A replica stores the operator's
// configuration on disk, serves it to the sidecars that watch it, and collects spans. (DESIGN 1)
package main

import (
	"os"

	"curlewwalk/internal/controlplane"
	"curlewwalk/internal/process"
	"curlewwalk/internal/settings"
)

func main() {
	readSettings := func() (settings.ControlPlane, settings.Exit) { return settings.ReadControlPlane(os.Args[1:]) }
	cfg, exit := readSettings()
	process.Exit(exit)
	controlplane.New(cfg, nil).Run(readSettings)
}
