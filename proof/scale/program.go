package scale

import (
	"fmt"
	"os"
	"path/filepath"

	"curlewwalk/core"
	"curlewwalk/process"
	"curlewwalk/proof/fleet"
	"curlewwalk/relay"
	"curlewwalk/settings"
	"curlewwalk/sidecar"
	"curlewwalk/wire"
)

// Be runs the program that this process was started as, by the name it was started
// by: a core or a sidecar as they ship, with one more address that shows their counts,
// or a shoal of hollow sidecars. False if it was started as none of them.
func Be(args []string) bool {
	switch filepath.Base(args[0]) {
	case "core":
		set, exit := settings.ReadCore(args[1:])
		process.Exit(exit)
		read := func() (settings.Core, settings.Exit) { return settings.ReadCore(args[1:]) }
		core.New(set, func(n *core.Node) { showProcess(set.Common, n.Process()) }).Run(read)
	case "sidecar":
		set, exit := settings.ReadSidecar(args[1:])
		process.Exit(exit)
		read := func() (settings.Sidecar, settings.Exit) { return settings.ReadSidecar(args[1:]) }
		sidecar.New(set, &sidecar.Doors{Dialect: relay.Plain{}, Open: func(n *sidecar.Node) { showProcess(set.Common, n.Process()) }}).Run(read)
	case "shoal":
		runShoal(args[1:])
	default:
		return false
	}
	return true
}

func showProcess(set settings.Common, p *process.Process) {
	page := func() Page {
		return Page{Usage: used(), Nodes: []NodePage{nodePage(set.Advertise, p.Net, p.Host)}}
	}
	if err := show(set.Wire, page, nil); err != nil {
		p.Fail("counts", err)
	}
}

func nodePage(addr string, n *wire.Net, h *wire.Host) NodePage {
	return NodePage{Addr: addr, Boot: h.Own.Boot, Net: n.Counts.Read(), Host: h.Counts.Read()}
}

// Programs makes a folder in which an executable that calls Be stands under the names
// of the programs.
func Programs(executable string) (fleet.Binaries, error) {
	path, err := filepath.Abs(executable)
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(path); err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "curlewwalk-scale-")
	if err != nil {
		return "", err
	}
	for _, name := range []string{"core", "sidecar", "shoal"} {
		if err := os.Symlink(path, filepath.Join(dir, name)); err != nil {
			return "", fmt.Errorf("programs: %w", err)
		}
	}
	return fleet.Binaries(dir), nil
}
