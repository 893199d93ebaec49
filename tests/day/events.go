package day

import (
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// event is a failure, or a planned change.
type event struct {
	name string
	run  func() error
}

// allEvents lists the events of a day.
func (d *Day) allEvents() []event {
	f := d.Fleet
	anySidecar := func() *fleet.Program { return f.Sidecars[d.rng.IntN(len(f.Sidecars))] }
	anyReplica := func() *fleet.Program { return f.Replicas[d.rng.IntN(len(f.Replicas))] }
	kill := func(choose func() []*fleet.Program, down time.Duration) func() error {
		return func() error {
			programs := choose()
			f.Kill(programs...)
			d.sleep(down)
			return f.Restart(programs...)
		}
	}
	one := func(choose func() *fleet.Program) func() []*fleet.Program {
		return func() []*fleet.Program { return []*fleet.Program{choose()} }
	}
	return []event{
		{"a sidecar is killed", kill(one(anySidecar), time.Second)},
		{"a replica is killed", kill(one(anyReplica), time.Second)},
		{"all sidecars are killed", kill(func() []*fleet.Program { return f.Sidecars }, time.Second)},
		{"all replicas are killed", kill(func() []*fleet.Program { return f.Replicas }, 6*time.Second)},
		{"everything is killed", kill(f.Programs, time.Second)},
		{"a sidecar is frozen and woken", d.freeze(anySidecar, 6*time.Second)},
		{"a replica is frozen and woken", d.freeze(anyReplica, 6*time.Second)},
		{"a machine is partitioned", d.partition(func() []string { return []string{anySidecar().IP} })},
		{"a replica is partitioned", d.partition(func() []string { return []string{anyReplica().IP} })},
		{"the control plane is split", d.partition(func() (side []string) {
			for _, i := range d.rng.Perm(len(f.Replicas))[:len(f.Replicas)/2] {
				side = append(side, f.Replicas[i].IP)
			}
			return side
		})},
		{"a zone loses power", d.blackout},
		{"a rolling restart", d.rollingRestart},
		{"a replica is replaced", d.replaceControlPlane},
		{"a backend leaves and is replaced", d.replaceBackend},
		{"a backend dies, its address is reused", d.reuseAddress},
		{"configurations race and storm", d.raceOperators},
		{"an invalid configuration", d.putInvalid},
		{"a zone is evacuated and restored", d.evacuate},
		{"wall clocks jump", d.jumpClocks},
		{"answers are lost and malformed", d.garbleAnswers},
		{"a zone is lost in a rolling restart", d.zoneLossDuringRollingRestart},
		{"operators race in a partition", d.raceDuringPartition},
		{"a replica is replaced in an evacuation", d.replaceDuringEvacuation},
	}
}

// freeze stops a process for a while, and continues it.
func (d *Day) freeze(choose func() *fleet.Program, t time.Duration) func() error {
	return func() error {
		p := choose()
		p.Signal(syscall.SIGSTOP)
		d.sleep(t)
		p.Signal(syscall.SIGCONT)
		return nil
	}
}

// partition partitions machines while a configuration is put.
func (d *Day) partition(side func() []string) func() error {
	return func() error {
		d.Fleet.Network.Partition(side()...)
		d.sleep(4 * time.Second)
		err := d.putConfiguration()
		d.Fleet.Network.Heal()
		return err
	}
}

// blackout has one zone lose power for a while.
func (d *Day) blackout() error {
	return d.blackoutWhile(func() error { d.sleep(5 * time.Second); return nil })
}

// blackoutWhile has one zone lose power, backends included, and starts it again after an action.
func (d *Day) blackoutWhile(action func() error) error {
	zone := d.Fleet.Size.Zones[d.rng.IntN(len(d.Fleet.Size.Zones))]
	programs, backends := d.Fleet.PowerOffZone(zone)
	var again []int
	for _, b := range backends {
		if machine, ok := d.runningBackends[b]; ok {
			delete(d.runningBackends, b)
			again = append(again, machine)
		}
	}
	if err := action(); err != nil {
		return err
	}
	if err := d.Fleet.Restart(programs...); err != nil {
		return err
	}
	for _, machine := range again {
		if err := d.startBackend(machine, 0.5); err != nil {
			return err
		}
	}
	return nil
}

// startBackend starts a new backend on a machine.
func (d *Day) startBackend(machine int, warmth float64) error {
	d.serial++
	service := d.Fleet.Size.Backends[machine]
	b, err := d.Fleet.StartBackendOn(fmt.Sprintf("%s:%d", d.Fleet.Site.IP(machine), 8000+d.serial), machine, service, fmt.Sprintf("%s-%d-%d", service, machine, d.serial), warmth)
	if err == nil {
		d.runningBackends[b] = machine
	}
	return err
}

// rollingRestart restarts every process in turn; no request may be dropped.
func (d *Day) rollingRestart() error {
	before := d.Fleet.Ledger.Judge()
	for _, p := range d.Fleet.Programs() {
		if code := p.Stop(); code != 0 {
			d.breach("%s ended with %d", p.Name, code)
		}
		if err := d.Fleet.Restart(p); err != nil {
			return err
		}
		if err := p.AwaitReady(d.ctx); err != nil {
			return err
		}
	}
	after := d.Fleet.Ledger.Judge()
	if n := after.Interrupted - before.Interrupted; n > 0 {
		d.breach("planned restarts dropped %d requests: %v", n, slices.DeleteFunc(after.Interruptions, func(c string) bool { return slices.Contains(before.Interruptions, c) }))
	}
	return nil
}

// replaceControlPlane replaces a replica by one with an empty disk at a new address.
func (d *Day) replaceControlPlane() error {
	i := d.rng.IntN(len(d.Fleet.Replicas))
	d.serial++
	old := d.Fleet.Replicas[i]
	d.Fleet.Kill(old)
	p := d.Fleet.NewReplica(i+1, d.Fleet.Site.IP(400+d.serial), filepath.Join(d.Fleet.Dir, fmt.Sprintf("replica-%d-%d", i+1, d.serial)))
	if err := d.Fleet.InterposeProxy(p); err != nil {
		return err
	}
	d.Fleet.Replicas[i] = p
	if err := p.Start(); err != nil {
		return err
	}
	return p.AwaitReady(d.ctx)
}

// anyBackend draws a running backend; the machine is the one it runs on.
func (d *Day) anyBackend() (*fakes.Backend, int) {
	i := d.rng.IntN(len(d.runningBackends))
	for _, b := range d.Fleet.Backends { // in the order of their start, so that a seed repeats the same draw
		if machine, ok := d.runningBackends[b]; ok {
			if i == 0 {
				return b, machine
			}
			i--
		}
	}
	panic("not reached")
}

// replaceBackend has a backend leave, and another take its place.
func (d *Day) replaceBackend() error {
	b, machine := d.anyBackend()
	if err := b.Leave(d.ctx); err != nil {
		return err
	}
	if err := d.startBackend(machine, 0.3); err != nil {
		return err
	}
	d.sleep(3 * time.Second)
	b.Kill()
	delete(d.runningBackends, b)
	return nil
}

// reuseAddress has a backend die, and its address used by one of another service.
func (d *Day) reuseAddress() error {
	b, machine := d.anyBackend()
	addr := b.Addr()
	b.Kill()
	delete(d.runningBackends, b)
	d.sleep(2 * time.Second)
	d.serial++
	services := d.Fleet.Size.Backends
	service := services[(machine+1)%len(services)]
	backend, err := d.Fleet.StartBackendOn(addr, machine, service, fmt.Sprintf("%s-%d-%d", service, machine, d.serial), 0)
	if err != nil {
		return err
	}
	d.sleep(2 * time.Second)
	backend.Kill()
	return d.startBackend(machine, 0)
}

// raceOperators has operators race; then each sidecar must have the newest configuration in force in time.
func (d *Day) raceOperators() error {
	d.race(10)
	if err := d.putConfiguration(); err != nil {
		return err
	}
	return d.awaitRollout()
}

// race has four operators put so many configurations each, all at once.
func (d *Day) race(each int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for i := range each {
				body := append(d.Fleet.Configuration(), fmt.Sprintf("%*s", 1+w*100+i, " ")...)
				r, err := d.Fleet.Operate(d.ctx, d.Fleet.Replicas[w%len(d.Fleet.Replicas)], http.MethodPut, "/v1/desired", body)
				if err == nil && r.Status == http.StatusOK {
					mu.Lock()
					d.acknowledge(r.Revision, body)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
}

// putInvalid puts an invalid configuration, which must be rejected.
func (d *Day) putInvalid() error {
	r, err := d.Fleet.Operate(d.ctx, d.Fleet.Replicas[0], http.MethodPut, "/v1/desired", []byte(`{"ways":[{"name":"x"}]}`))
	if err == nil && r.Status != http.StatusUnprocessableEntity {
		d.breach("an invalid configuration got %d", r.Status)
	}
	return err
}

// evacuate evacuates a zone for a while.
func (d *Day) evacuate() error {
	return d.evacuateWhile(func() error { d.sleep(7 * time.Second); return nil })
}

// evacuateWhile evacuates a zone, and restores it after an action.
func (d *Day) evacuateWhile(action func() error) error {
	zone := d.Fleet.Size.Zones[d.rng.IntN(len(d.Fleet.Size.Zones))]
	if _, err := d.Fleet.EvacuateZone(d.ctx, d.Fleet.Replicas[0], zone); err != nil {
		return err
	}
	if err := action(); err != nil {
		return err
	}
	_, err := d.Fleet.RestoreZone(d.ctx, d.Fleet.Replicas[0], zone)
	return err
}

// jumpClocks has the wall clocks of some machines jump by hours, both ways.
func (d *Day) jumpClocks() error {
	programs := d.Fleet.Programs()
	for _, i := range d.rng.Perm(len(programs))[:len(programs)/3] {
		if err := d.Fleet.JumpClock(programs[i], time.Duration(d.rng.Int64N(int64(200*time.Hour)))-100*time.Hour); err != nil {
			return err
		}
	}
	d.sleep(2 * time.Second)
	return d.awaitRollout()
}

// garbleAnswers has some backends lose a part of their answers, or send malformed ones, after the run.
func (d *Day) garbleAnswers() error {
	for b := range d.runningBackends {
		b.GarblePercent.Store(10)
	}
	d.sleep(4 * time.Second)
	for b := range d.runningBackends {
		b.GarblePercent.Store(0)
	}
	return nil
}

// leaveWhile has a backend leave and be replaced while an action goes on.
func (d *Day) leaveWhile(action func() error) error {
	b, machine := d.anyBackend()
	if err := b.Leave(d.ctx); err != nil {
		return err
	}
	if err := d.startBackend(machine, 0.5); err != nil {
		return err
	}
	err := action()
	b.Kill()
	delete(d.runningBackends, b)
	return err
}

// zoneLossDuringRollingRestart has a zone lose power half way through a rolling restart.
func (d *Day) zoneLossDuringRollingRestart() error {
	return d.leaveWhile(func() error {
		programs := d.Fleet.Programs()
		restart := func(programs []*fleet.Program) error {
			for _, p := range programs {
				if !p.Running() {
					continue
				}
				p.Stop()
				if err := d.Fleet.Restart(p); err != nil {
					return err
				}
			}
			return nil
		}
		if err := restart(programs[:len(programs)/2]); err != nil {
			return err
		}
		return d.blackoutWhile(func() error { return restart(programs[len(programs)/2:]) })
	})
}

// raceDuringPartition has operators race while the replicas are partitioned, and checks what is in force
// afterwards.
func (d *Day) raceDuringPartition() error {
	return d.leaveWhile(func() error {
		var side []string
		for _, i := range d.rng.Perm(len(d.Fleet.Replicas))[:len(d.Fleet.Replicas)/2] {
			side = append(side, d.Fleet.Replicas[i].IP)
		}
		d.Fleet.Network.Partition(side...)
		d.race(3)
		d.Fleet.Network.Heal()
		if err := d.putConfiguration(); err != nil {
			return err
		}
		return d.awaitRollout()
	})
}

// replaceDuringEvacuation replaces a replica while a zone is being evacuated.
func (d *Day) replaceDuringEvacuation() error {
	return d.evacuateWhile(func() error {
		return d.leaveWhile(func() error {
			if err := d.replaceControlPlane(); err != nil {
				return err
			}
			d.sleep(6 * time.Second)
			return nil
		})
	})
}
