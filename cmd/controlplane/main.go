// Command controlplane is the control plane: it keeps the operator's word on its disk,
// tells the data plane the news, and collects spans. (DESIGN 1)
package main

import (
	"os"

	"curlewwalk/internal/controlplane"
	"curlewwalk/internal/process"
	"curlewwalk/internal/settings"
)

func main() {
	set, exit := settings.ReadControlPlane(os.Args[1:])
	process.Exit(exit)
	controlplane.New(set, nil).Run(func() (settings.ControlPlane, settings.Exit) { return settings.ReadControlPlane(os.Args[1:]) })
}
