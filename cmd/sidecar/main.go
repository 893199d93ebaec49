// Command sidecar is the data plane: it stands beside every caller and every
// backend of a machine. (DESIGN 1)
package main

import (
	"os"

	"curlewwalk/boot"
	"curlewwalk/process"
)

func main() {
	set, exit := boot.ReadSidecar(os.Args[1:])
	process.Exit(exit)
	n := newNode(set)
	n.readyLine()
	n.p.Wait(func() {
		next, exit := boot.ReadSidecar(os.Args[1:])
		n.reload.Reload(n.p, set, next, next.Common, exit)
	})
	n.stop()
}
