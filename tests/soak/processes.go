package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"curlewwalk/tests/fleet"
)

// The ways in which a process is stopped.
const (
	howPlain  = ""       // SIGTERM
	howAgain  = "again"  // SIGTERM, and once more
	howReload = "reload" // SIGTERM amid SIGHUPs
)

var stops = []string{howPlain, howAgain, howReload}

// hold takes processes for as long as something is done to them; false if one of them is
// taken already. Of the core no more are taken at a time than it is to bear.
func (r *Run) hold(programs ...*fleet.Program) (release func(), ok bool) {
	var held []func()
	release = func() {
		for _, give := range held {
			give()
		}
	}
	for _, p := range programs {
		if !r.control[p].TryLock() {
			release()
			return nil, false
		}
		held = append(held, r.control[p].Unlock)
	}
	return release, true
}

// holdCore takes processes of the core, each of which counts as lost until it has settled.
func (r *Run) holdCore(programs ...*fleet.Program) (release func(), ok bool) {
	give, ok := r.hold(programs...)
	if !ok {
		return nil, false
	}
	for taken := range programs {
		select {
		case r.core <- true:
		default:
			for range taken {
				<-r.core
			}
			give()
			return nil, false
		}
	}
	return func() {
		give()
		go func() {
			wait(context.Background(), settle)
			for range programs {
				<-r.core
			}
		}()
	}, true
}

func (r *Run) isCore(p *fleet.Program) bool { return slices.Contains(r.Fleet.Cores, p) }

// strike does something to processes that it alone holds meanwhile.
func (r *Run) strike(e Entry, planned bool, programs []*fleet.Program, do func()) {
	taking := r.hold
	core := r.isCore(programs[0])
	if core {
		taking = r.holdCore
	}
	release, ok := taking(programs...)
	if !ok {
		r.skip(e)
		return
	}
	defer release()
	defer r.troubles.begin(Trouble{Kind: e.Kind, How: e.How, Machines: ips(programs), Core: core, Planned: planned})()
	do()
}

func ips(programs []*fleet.Program) (out []string) {
	for _, p := range programs {
		out = append(out, p.IP)
	}
	return out
}

// sidecars are so many sidecars in a row, from the entry's target on.
func (r *Run) sidecars(e Entry) (out []*fleet.Program) {
	all := r.Fleet.Sidecars
	for i := range min(max(1, e.Count), len(all)) {
		out = append(out, all[(e.Target+i)%len(all)])
	}
	return out
}

func (r *Run) coreOf(e Entry) []*fleet.Program {
	return []*fleet.Program{r.Fleet.Cores[e.Target%len(r.Fleet.Cores)]}
}

// stop stops sidecars in turn, a second apart, whether the last is back or not, and starts
// each again when it has ended.
func stop(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	var all sync.WaitGroup
	for i, p := range r.sidecars(e) {
		all.Go(func() {
			wait(ctx, time.Duration(i)*time.Second)
			r.strike(e, true, []*fleet.Program{p}, func() { r.restart(ctx, p, e.How) })
		})
	}
	all.Wait()
}

func stopCore(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.coreOf(e)
	r.strike(e, true, programs, func() { r.restart(ctx, programs[0], e.How) })
}

// restart stops a process, as the platform does, and starts it again.
func (r *Run) restart(ctx context.Context, p *fleet.Program, how string) {
	ended := make(chan int, 1)
	if how == howReload {
		p.Signal(syscall.SIGHUP)
	}
	go func() { ended <- p.Stop() }()
	more := map[string]syscall.Signal{howAgain: syscall.SIGTERM, howReload: syscall.SIGHUP}[how]
	tick := time.NewTicker(400 * time.Millisecond)
	defer tick.Stop()
	kill := time.After(grace)
	for over := false; !over; {
		select {
		case code := <-ended:
			if over = true; code != 0 {
				r.find(ruleStop, "", "%s ended with %d: %s", p.Name, code, p.Said())
			}
		case <-kill:
			r.find(ruleStop, "", "%s was still there at the end of its grace time", p.Name)
			p.Signal(syscall.SIGKILL)
			<-ended
			over = true
		case <-tick.C:
			if more != 0 {
				p.Signal(more)
			}
		}
	}
	r.revive(ctx, p)
}

// revive starts a process again, and waits until it is ready.
func (r *Run) revive(ctx context.Context, programs ...*fleet.Program) {
	if err := r.Fleet.Revive(programs...); err != nil {
		r.find(ruleStart, "", "%v", err)
		return
	}
	for _, p := range programs {
		call, cancel := context.WithTimeout(ctx, recovery)
		p.Ready(call) // a core may be cut off, or without a majority
		cancel()
	}
}

func reload(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	for _, p := range r.sidecars(e) {
		if release, ok := r.hold(p); ok {
			end := r.troubles.begin(Trouble{Kind: e.Kind, Machines: []string{p.IP}, Planned: true})
			p.Signal(syscall.SIGHUP)
			end()
			release()
		}
		wait(ctx, 50*time.Millisecond)
	}
}

func kill(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.sidecars(e)
	r.strike(e, false, programs, func() { r.killFor(ctx, programs, e) })
}

func killCore(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.coreOf(e)
	r.strike(e, false, programs, func() { r.killFor(ctx, programs, e) })
}

// The ways in which processes end at once.
const (
	howKill  = "kill"  // their connections are reset
	howPower = "power" // what was on its way is lost too
)

var kills = []string{howKill, howPower}

func (r *Run) killFor(ctx context.Context, programs []*fleet.Program, e Entry) {
	if e.How == howPower {
		r.Fleet.PowerOff(programs...)
	} else {
		r.Fleet.Kill(programs...)
	}
	wait(ctx, seconds(e.For))
	r.revive(ctx, programs...)
}

// herd ends many processes at the same moment, of the core as well; their disks stay.
func herd(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	var programs []*fleet.Program
	for _, p := range r.Fleet.Programs() {
		if rng.IntN(3) > 0 && r.control[p].TryLock() {
			programs = append(programs, p)
			defer r.control[p].Unlock()
		}
	}
	if len(programs) == 0 {
		return
	}
	defer r.troubles.begin(Trouble{Kind: e.Kind, How: e.How, Machines: ips(programs), Core: true})()
	r.killFor(ctx, programs, e)
}

func freeze(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	r.freezeAll(ctx, e, r.sidecars(e))
}

func freezeCore(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	r.freezeAll(ctx, e, r.coreOf(e))
}

func (r *Run) freezeAll(ctx context.Context, e Entry, programs []*fleet.Program) {
	r.strike(e, false, programs, func() {
		for _, p := range programs {
			p.Signal(syscall.SIGSTOP)
		}
		wait(ctx, seconds(e.For))
		for _, p := range programs {
			p.Signal(syscall.SIGCONT)
		}
	})
}

// loseDisk has a machine of the core come back with an empty disk.
func loseDisk(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.coreOf(e)
	r.strike(e, false, programs, func() {
		r.Fleet.PowerOff(programs...)
		r.wipe(programs[0])
		wait(ctx, seconds(e.For))
		r.revive(ctx, programs...)
	})
}

// wipe empties a core's disk.
func (r *Run) wipe(p *fleet.Program) {
	data := filepath.Join(r.Fleet.Dir, strings.ReplaceAll(p.Name, "/", "-"))
	if err := os.RemoveAll(data); err != nil {
		r.find(ruleStart, "", "%v", err)
	}
}

// resetConnections resets all that goes to some machines' wire addresses.
func resetConnections(_ context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.sidecars(e)
	defer r.troubles.begin(Trouble{Kind: e.Kind, Machines: ips(programs)})()
	for _, p := range programs {
		r.Fleet.Reset(p)
	}
}

// The ways in which the network is cut.
const (
	howAll    = "all"     // from all machines
	howCores  = "cores"   // from the cores
	howOneWay = "one-way" // nothing gets from there to the cores
)

var cuts = []string{howAll, howCores, howOneWay}

// cut cuts sidecars' machines off.
func cut(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	side := ips(r.sidecars(e))
	r.cutOff(ctx, e, side, false)
}

// cutCore cuts one machine of the core off.
func cutCore(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	select {
	case r.core <- true:
	default:
		r.skip(e)
		return
	}
	r.cutOff(ctx, e, ips(r.coreOf(e)), true)
	wait(ctx, settle)
	<-r.core
}

func (r *Run) cutOff(ctx context.Context, e Entry, side []string, core bool) {
	cores := r.Fleet.CoreIPs()
	in := slices.Contains[[]string]
	cut := func(from, to string) bool { return in(side, from) != in(side, to) }
	switch e.How {
	case howCores:
		cut = func(from, to string) bool {
			return in(side, from) && in(cores, to) && !in(side, to) || in(cores, from) && in(side, to) && !in(side, from)
		}
	case howOneWay:
		cut = func(from, to string) bool { return in(side, from) && in(cores, to) && !in(side, to) }
	}
	defer r.troubles.begin(Trouble{Kind: e.Kind, How: e.How, Machines: side, Core: core})()
	defer r.Fleet.Net.Add(cut)()
	wait(ctx, seconds(e.For))
}

// split cuts half of the cores off from the other half; all others reach both.
func split(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	cores := r.Fleet.CoreIPs()
	half := cores[:len(cores)/2]
	in := slices.Contains[[]string]
	defer r.troubles.begin(Trouble{Kind: e.Kind, Machines: cores, Core: true})()
	defer r.Fleet.Net.Add(func(from, to string) bool {
		return in(cores, from) && in(cores, to) && in(half, from) != in(half, to)
	})()
	wait(ctx, seconds(e.For))
}
