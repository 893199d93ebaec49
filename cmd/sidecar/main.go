// Command sidecar is the data plane: it stands beside every caller and every
// backend of a machine. (DESIGN 1)
package main

import (
	"os"

	"curlewwalk/boot"
	"curlewwalk/process"
	"curlewwalk/sidecar"
)

func main() {
	set, exit := boot.ReadSidecar(os.Args[1:])
	process.Exit(exit)
	sidecar.New(set, nil).Run(func() (boot.Sidecar, boot.Exit) { return boot.ReadSidecar(os.Args[1:]) })
}
