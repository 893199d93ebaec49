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

// The variants of a stop.
const (
	variantPlain        = ""       // SIGTERM
	variantRepeatedTerm = "again"  // SIGTERM, repeated every 400 ms until the process ends
	variantReload       = "reload" // SIGHUP, SIGTERM, then SIGHUP every 400 ms until the process ends
)

// stopVariants lists all variants of a stop.
var stopVariants = []string{variantPlain, variantRepeatedTerm, variantReload}

// lockProcesses locks processes while an entry acts on them. It returns false and locks nothing if
// one of them is already locked.
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

// lockControlPlane locks replicas. It returns false and locks nothing if one of them is already
// locked, or if more replicas would be lost at once than controlPlaneFaults allows. A replica
// counts as lost until recoveryHold after its release.
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

// isControlPlane reports whether a process is a replica.
func (r *Run) isControlPlane(p *fleet.Program) bool { return slices.Contains(r.Fleet.Replicas, p) }

// injectFault locks processes, which must all be sidecars or all be replicas, records a fault and
// calls action. It skips the entry if the processes cannot be locked.
func (r *Run) injectFault(e Entry, planned bool, programs []*fleet.Program, action func()) {
	lock := r.lockProcesses
	controlPlane := r.isControlPlane(programs[0])
	if controlPlane {
		lock = r.lockControlPlane
	}
	release, ok := lock(programs...)
	if !ok {
		r.skip(e)
		return
	}
	defer release()
	defer r.faults.begin(Fault{Kind: e.Kind, Variant: e.Variant, Machines: ips(programs), ControlPlane: controlPlane, Planned: planned})()
	action()
}

// ips returns the IP addresses of processes.
func ips(programs []*fleet.Program) (out []string) {
	for _, p := range programs {
		out = append(out, p.IP)
	}
	return out
}

// sidecars returns the sidecars of an entry: Count of them in a row, at least one, beginning with
// Target.
func (r *Run) sidecars(e Entry) (out []*fleet.Program) {
	all := r.Fleet.Sidecars
	for i := range min(max(1, e.Count), len(all)) {
		out = append(out, all[(e.Target+i)%len(all)])
	}
	return out
}

// replicaOf returns the replica that is the target of an entry, as a slice of one.
func (r *Run) replicaOf(e Entry) []*fleet.Program {
	return []*fleet.Program{r.Fleet.Replicas[e.Target%len(r.Fleet.Replicas)]}
}

// stop stops sidecars one second apart, without waiting for the restart of the previous one. Each
// sidecar is started again when it has ended.
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

// stopReplica stops a replica and starts it again.
func stopReplica(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.replicaOf(e)
	r.injectFault(e, true, programs, func() { r.restart(ctx, programs[0], e.Variant) })
}

// restart stops a process by SIGTERM, as a platform does, and starts it again. An exit code other
// than zero and a process that outlives its grace time are breaches. The latter is killed.
func (r *Run) restart(ctx context.Context, p *fleet.Program, variant string) {
	ended := make(chan int, 1)
	if variant == variantReload {
		p.Signal(syscall.SIGHUP)
	}
	go func() { ended <- p.Stop() }()
	repeated := map[string]syscall.Signal{variantRepeatedTerm: syscall.SIGTERM, variantReload: syscall.SIGHUP}[variant]
	tick := time.NewTicker(400 * time.Millisecond)
	defer tick.Stop()
	kill := time.After(stopGrace)
	for exited := false; !exited; {
		select {
		case code := <-ended:
			if exited = true; code != 0 {
				r.breach(ruleStop, "", "%s ended with exit code %d, want 0: %s", p.Name, code, p.Stderr())
			}
		case <-kill:
			r.breach(ruleStop, "", "%s was still running at the end of its grace time after SIGTERM", p.Name)
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

// revive starts processes again and waits until they are ready, at most recoveryLimit for each.
func (r *Run) revive(ctx context.Context, programs ...*fleet.Program) {
	if err := r.Fleet.Restart(programs...); err != nil {
		r.breach(ruleStart, "", "%v", err)
		return
	}
	for _, p := range programs {
		call, cancel := context.WithTimeout(ctx, recoveryLimit)
		p.AwaitReady(call) // the error is ignored: a replica may be partitioned or lack a majority
		cancel()
	}
}

// reload makes sidecars reload their settings. It leaves out sidecars that are locked.
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

// kill kills sidecars and starts them again after the duration of the entry.
func kill(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.sidecars(e)
	r.injectFault(e, false, programs, func() { r.killFor(ctx, programs, e) })
}

// killReplica kills a replica and starts it again after the duration of the entry.
func killReplica(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	programs := r.replicaOf(e)
	r.injectFault(e, false, programs, func() { r.killFor(ctx, programs, e) })
}

// The variants of a kill.
const (
	variantKill     = "kill"  // the operating system resets the connections
	variantPowerOff = "power" // data in flight is lost as well
)

// killVariants lists all variants of a kill.
var killVariants = []string{variantKill, variantPowerOff}

// killFor kills processes and starts them again after the duration of the entry.
func (r *Run) killFor(ctx context.Context, programs []*fleet.Program, e Entry) {
	if e.Variant == variantPowerOff {
		r.Fleet.PowerOff(programs...)
	} else {
		r.Fleet.Kill(programs...)
	}
	sleep(ctx, seconds(e.For))
	r.revive(ctx, programs...)
}

// massKill kills about two thirds of all processes at the same moment, replicas included, and
// starts them again after the duration of the entry. Their disks are kept. It leaves out locked
// processes.
func massKill(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	targets := slices.DeleteFunc(r.Fleet.Programs(), func(*fleet.Program) bool { return rng.IntN(3) == 0 })
	r.killUnlocked(ctx, e, targets)
}

// freeze freezes sidecars for the duration of the entry.
func freeze(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	r.freezeAll(ctx, e, r.sidecars(e))
}

// freezeReplica freezes a replica for the duration of the entry.
func freezeReplica(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	r.freezeAll(ctx, e, r.replicaOf(e))
}

// freezeAll suspends processes by SIGSTOP and resumes them after the duration of the entry.
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

// loseDisk powers off a replica, erases its disk, and starts it again after the duration of the
// entry.
func loseDisk(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	replicas := r.replicaOf(e)
	r.injectFault(e, false, replicas, func() {
		r.Fleet.PowerOff(replicas...)
		r.eraseDisk(replicas[0])
		sleep(ctx, seconds(e.For))
		r.revive(ctx, replicas...)
	})
}

// eraseDisk deletes the data directory of a replica.
func (r *Run) eraseDisk(p *fleet.Program) {
	data := filepath.Join(r.Fleet.Dir, strings.ReplaceAll(p.Name, "/", "-"))
	if err := os.RemoveAll(data); err != nil {
		r.breach(ruleStart, "", "%v", err)
	}
}
