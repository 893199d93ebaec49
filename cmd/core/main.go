// Command core is the control plane: it keeps the operator's word on its disk,
// tells the data plane the news, and collects spans. (DESIGN 1)
package main

import (
	"fmt"
	"os"

	"curlewwalk/boot"
	"curlewwalk/process"
)

func main() {
	set, exit := boot.ReadCore(os.Args[1:])
	process.Exit(exit)
	n := newNode(set)
	fmt.Fprintf(os.Stdout, "started wire=%s control=%s\n", n.p.Host.Addr(), n.web.Listener.Addr())
	n.p.Wait(func() {
		next, exit := boot.ReadCore(os.Args[1:])
		n.reload.Reload(n.p, set, next, next.Common, exit)
	})
	n.stop()
}
