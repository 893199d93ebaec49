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
	variantPlain  = ""       // SIGTERM
	variantAgain  = "again"  // SIGTERM, and once more
	variantReload = "reload" // SIGTERM amid SIGHUPs
)

var stopVariants = []string{variantPlain, variantAgain, variantReload}

// lockProcesses takes processes for as long as something is done to them; false if one of them is
// taken already. Of the core no more are taken at a time than it is to bear.
func (r *Run) lockProcesses(programs ...*fleet.Program) (release func(), ok bool) {
	var unlocks []func()
	release = func() {
		for _, unlock := range unlocks {
			unlock()
		}
	}
	for _, p := range programs {
		if !r.processLocks[p].TryLock() {
			release()
			return nil, false
		}
		unlocks = append(unlocks, r.processLocks[p].Unlock)
	}
	return release, true
}

// lockControlPlane takes processes of the core, each of which counts as lost until it has settled.
func (r *Run) lockControlPlane(programs ...*fleet.Program) (release func(), ok bool) {
	unlock, ok := r.lockProcesses(programs...)
	if !ok {
		return nil, false
	}
	for reserved := range programs {
		select {
		case r.controlPlaneFaults <- true:
		default:
			for range reserved {
				<-r.controlPlaneFaults
			}
			unlock()
			return nil, false
		}
	}
	return func() {
		unlock()
		go func() {
			sleep(context.Background(), recoveryHold)
			for range programs {
				<-r.controlPlaneFaults
			}
		}()
	}, true
}

func (r *Run) isControlPlane(p *fleet.Program) bool { return slices.Contains(r.Fleet.Replicas, p) }

// injectFault does something to processes that it alone holds meanwhile.
func (r *Run) injectFault(e Entry, planned bool, programs []*fleet.Program, action func()) {
	lock := r.lockProcesses
	core := r.isControlPlane(programs[0])
	if core {
		lock = r.lockControlPlane
	}
	release, ok := lock(programs...)
	if !ok {
		r.skip(e)
		return
	}
	defer release()
	defer r.faults.begin(Fault{Kind: e.Kind, Variant: e.Variant, Machines: ips(programs), Core: core, Planned: planned})()
	action()
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

func (r *Run) replicaOf(e Entry) []*fleet.Program {
	return []*fleet.Program{r.Fleet.Replicas[e.Target%len(r.Fleet.Replicas)]}
}

// stop stops sidecars in turn, a second apart, whether the last is back or not, and starts
// each again when it has ended.
func stop(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	var all sync.WaitGroup
	for i, p := range r.sidecars(e) {
		all.Go(func() {
			sleep(ctx, time.Duration(i)*time.Second)
			r.injectFault(e, true, []*fleet.Program{p}, func() { r.restart(ctx, p, e.Variant) })
		})
	}
	all.Wait()
}

func stopCore(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.replicaOf(e)
	r.injectFault(e, true, programs, func() { r.restart(ctx, programs[0], e.Variant) })
}

// restart stops a process, as the platform does, and starts it again.
func (r *Run) restart(ctx context.Context, p *fleet.Program, variant string) {
	ended := make(chan int, 1)
	if variant == variantReload {
		p.Signal(syscall.SIGHUP)
	}
	go func() { ended <- p.Stop() }()
	repeated := map[string]syscall.Signal{variantAgain: syscall.SIGTERM, variantReload: syscall.SIGHUP}[variant]
	tick := time.NewTicker(400 * time.Millisecond)
	defer tick.Stop()
	kill := time.After(stopGrace)
	for exited := false; !exited; {
		select {
		case code := <-ended:
			if exited = true; code != 0 {
				r.breach(ruleStop, "", "%s ended with %d: %s", p.Name, code, p.Stderr())
			}
		case <-kill:
			r.breach(ruleStop, "", "%s was still there at the end of its grace time", p.Name)
			p.Signal(syscall.SIGKILL)
			<-ended
			exited = true
		case <-tick.C:
			if repeated != 0 {
				p.Signal(repeated)
			}
		}
	}
	r.revive(ctx, p)
}

// revive starts a process again, and waits until it is ready.
func (r *Run) revive(ctx context.Context, programs ...*fleet.Program) {
	if err := r.Fleet.Restart(programs...); err != nil {
		r.breach(ruleStart, "", "%v", err)
		return
	}
	for _, p := range programs {
		call, cancel := context.WithTimeout(ctx, recoveryLimit)
		p.AwaitReady(call) // a core may be cut off, or without a majority
		cancel()
	}
}

func reload(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	for _, p := range r.sidecars(e) {
		if release, ok := r.lockProcesses(p); ok {
			end := r.faults.begin(Fault{Kind: e.Kind, Machines: []string{p.IP}, Planned: true})
			p.Signal(syscall.SIGHUP)
			end()
			release()
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

func kill(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.sidecars(e)
	r.injectFault(e, false, programs, func() { r.killFor(ctx, programs, e) })
}

func killCore(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.replicaOf(e)
	r.injectFault(e, false, programs, func() { r.killFor(ctx, programs, e) })
}

// The ways in which processes end at once.
const (
	variantKill     = "kill"  // their connections are reset
	variantPowerOff = "power" // what was on its way is lost too
)

var killVariants = []string{variantKill, variantPowerOff}

func (r *Run) killFor(ctx context.Context, programs []*fleet.Program, e Entry) {
	if e.Variant == variantPowerOff {
		r.Fleet.PowerOff(programs...)
	} else {
		r.Fleet.Kill(programs...)
	}
	sleep(ctx, seconds(e.For))
	r.revive(ctx, programs...)
}

// massKill ends many processes at the same moment, of the core as well; their disks stay.
func massKill(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	var programs []*fleet.Program
	for _, p := range r.Fleet.Programs() {
		if rng.IntN(3) > 0 && r.processLocks[p].TryLock() {
			programs = append(programs, p)
			defer r.processLocks[p].Unlock()
		}
	}
	if len(programs) == 0 {
		return
	}
	defer r.faults.begin(Fault{Kind: e.Kind, Variant: e.Variant, Machines: ips(programs), Core: true})()
	r.killFor(ctx, programs, e)
}

func freeze(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	r.freezeAll(ctx, e, r.sidecars(e))
}

func freezeCore(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	r.freezeAll(ctx, e, r.replicaOf(e))
}

func (r *Run) freezeAll(ctx context.Context, e Entry, programs []*fleet.Program) {
	r.injectFault(e, false, programs, func() {
		for _, p := range programs {
			p.Signal(syscall.SIGSTOP)
		}
		sleep(ctx, seconds(e.For))
		for _, p := range programs {
			p.Signal(syscall.SIGCONT)
		}
	})
}

// loseDisk has a machine of the core come back with an empty disk.
func loseDisk(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	replicas := r.replicaOf(e)
	r.injectFault(e, false, replicas, func() {
		r.Fleet.PowerOff(replicas...)
		r.eraseDisk(replicas[0])
		sleep(ctx, seconds(e.For))
		r.revive(ctx, replicas...)
	})
}

// eraseDisk empties a core's disk.
func (r *Run) eraseDisk(p *fleet.Program) {
	data := filepath.Join(r.Fleet.Dir, strings.ReplaceAll(p.Name, "/", "-"))
	if err := os.RemoveAll(data); err != nil {
		r.breach(ruleStart, "", "%v", err)
	}
}

// resetConnections resets all that goes to some machines' wire addresses.
func resetConnections(_ context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.sidecars(e)
	defer r.faults.begin(Fault{Kind: e.Kind, Machines: ips(programs)})()
	for _, p := range programs {
		r.Fleet.ResetConnections(p)
	}
}

// The ways in which the network is cut.
const (
	variantAll          = "all"     // from all machines
	variantControlPlane = "cores"   // from the cores
	variantOneWay       = "one-way" // nothing gets from there to the cores
)

var partitionVariants = []string{variantAll, variantControlPlane, variantOneWay}

// partitionSidecars cuts sidecars' machines off.
func partitionSidecars(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	side := ips(r.sidecars(e))
	r.partition(ctx, e, side, false)
}

// partitionReplica cuts one machine of the core off.
func partitionReplica(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	select {
	case r.controlPlaneFaults <- true:
	default:
		r.skip(e)
		return
	}
	r.partition(ctx, e, ips(r.replicaOf(e)), true)
	sleep(ctx, recoveryHold)
	<-r.controlPlaneFaults
}

func (r *Run) partition(ctx context.Context, e Entry, side []string, core bool) {
	cores := r.Fleet.ReplicaIPs()
	in := slices.Contains[[]string]
	blocks := func(from, to string) bool { return in(side, from) != in(side, to) }
	switch e.Variant {
	case variantControlPlane:
		blocks = func(from, to string) bool {
			return in(side, from) && in(cores, to) && !in(side, to) || in(cores, from) && in(side, to) && !in(side, from)
		}
	case variantOneWay:
		blocks = func(from, to string) bool { return in(side, from) && in(cores, to) && !in(side, to) }
	}
	defer r.faults.begin(Fault{Kind: e.Kind, Variant: e.Variant, Machines: side, Core: core})()
	defer r.Fleet.Network.AddPartition(blocks)()
	sleep(ctx, seconds(e.For))
}

// splitControlPlane cuts half of the cores off from the other half; all others reach both.
func splitControlPlane(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	cores := r.Fleet.ReplicaIPs()
	half := cores[:len(cores)/2]
	in := slices.Contains[[]string]
	defer r.faults.begin(Fault{Kind: e.Kind, Machines: cores, Core: true})()
	defer r.Fleet.Network.AddPartition(func(from, to string) bool {
		return in(cores, from) && in(cores, to) && in(half, from) != in(half, to)
	})()
	sleep(ctx, seconds(e.For))
}
