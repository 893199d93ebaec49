// Command core is the control plane: it keeps the operator's word on its disk,
// tells the data plane the news, and collects spans. (DESIGN 1)
package main

import (
	"os"

	"curlewwalk/boot"
	"curlewwalk/core"
	"curlewwalk/process"
)

func main() {
	set, exit := boot.ReadCore(os.Args[1:])
	process.Exit(exit)
	core.New(set, nil).Run(func() (boot.Core, boot.Exit) { return boot.ReadCore(os.Args[1:]) })
}
