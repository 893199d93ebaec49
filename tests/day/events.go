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

// event is a failure or a planned change.
type event struct {
	name string // matched by Day.Only
	run  func() error
}

// allEvents returns all events of a day. Day.play draws their order.
func (d *Day) allEvents() []event {
	f := d.Fleet
	anySidecar := func() *fleet.Program { return f.Sidecars[d.rng.IntN(len(f.Sidecars))] }
	anyReplica := func() *fleet.Program { return f.Replicas[d.rng.IntN(len(f.Replicas))] }
	kill := func(choose func() []*fleet.Program, downtime time.Duration) func() error {
		return func() error {
			programs := choose()
			f.Kill(programs...)
			d.sleep(downtime)
			return f.Restart(programs...)
		}
	}
	single := func(choose func() *fleet.Program) func() []*fleet.Program {
		return func() []*fleet.Program { return []*fleet.Program{choose()} }
	}
	return []event{
		{"a sidecar is killed", kill(single(anySidecar), time.Second)},
		{"a replica is killed", kill(single(anyReplica), time.Second)},
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
		{"a zone loses power", d.powerOffZone},
		{"a rolling restart", d.rollingRestart},
		{"a replica is replaced", d.replaceReplica},
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

// freeze returns an event that stops a process with SIGSTOP and continues it after a duration.
func (d *Day) freeze(choose func() *fleet.Program, duration time.Duration) func() error {
	return func() error {
		p := choose()
		p.Signal(syscall.SIGSTOP)
		d.sleep(duration)
		p.Signal(syscall.SIGCONT)
		return nil
	}
}

// partition returns an event that partitions machines from all others, puts a configuration after 4 s,
// and then heals the network.
func (d *Day) partition(side func() []string) func() error {
	return func() error {
		d.Fleet.Network.Partition(side()...)
		d.sleep(4 * time.Second)
		err := d.putConfiguration()
		d.Fleet.Network.Heal()
		return err
	}
}

// powerOffZone powers a random zone off for 5 s.
func (d *Day) powerOffZone() error {
	return d.withZoneOff(func() error { d.sleep(5 * time.Second); return nil })
}

// withZoneOff powers a random zone off, including its backends, runs an action, and starts the zone
// again. The backends that it starts are new ones and half warm.
func (d *Day) withZoneOff(action func() error) error {
	zone := d.Fleet.Size.Zones[d.rng.IntN(len(d.Fleet.Size.Zones))]
	programs, backends := d.Fleet.PowerOffZone(zone)
	var machines []int
	for _, b := range backends {
		if machine, ok := d.runningBackends[b]; ok {
			delete(d.runningBackends, b)
			machines = append(machines, machine)
		}
	}
	if err := action(); err != nil {
		return err
	}
	if err := d.Fleet.Restart(programs...); err != nil {
		return err
	}
	for _, machine := range machines {
		if err := d.startBackend(machine, 0.5); err != nil {
			return err
		}
	}
	return nil
}

// startBackend starts a backend with a new name and port on a machine.
func (d *Day) startBackend(machine int, warmth float64) error {
	d.serial++
	service := d.Fleet.Size.Backends[machine]
	b, err := d.Fleet.StartBackendOn(fmt.Sprintf("%s:%d", d.Fleet.Site.IP(machine), 8000+d.serial), machine, service, fmt.Sprintf("%s-%d-%d", service, machine, d.serial), warmth)
	if err == nil {
		d.runningBackends[b] = machine
	}
	return err
}

// rollingRestart stops and restarts every process in turn. An interrupted request, or an exit code
// other than 0, is a breach.
func (d *Day) rollingRestart() error {
	before := d.Fleet.Ledger.Judge()
	for _, p := range d.Fleet.Programs() {
		if code := p.Stop(); code != 0 {
			d.breach("%s exited with code %d, want 0", p.Name, code)
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
		d.breach("rolling restart interrupted %d requests: %v", n, slices.DeleteFunc(after.Interruptions, func(c string) bool { return slices.Contains(before.Interruptions, c) }))
	}
	return nil
}

// replaceReplica kills a random replica and replaces it by one with an empty data directory at a new
// address.
func (d *Day) replaceReplica() error {
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

// anyBackend draws a running backend and returns it with the number of its machine.
func (d *Day) anyBackend() (*fakes.Backend, int) {
	i := d.rng.IntN(len(d.runningBackends))
	for _, b := range d.Fleet.Backends { // in start order rather than map order, so that a seed repeats the draw
		if machine, ok := d.runningBackends[b]; ok {
			if i == 0 {
				return b, machine
			}
			i--
		}
	}
	panic("not reached")
}

// replaceBackend makes a random backend leave, starts another in its place, and kills the first one
// after 3 s.
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

// reuseAddress kills a random backend and starts a backend of another service at its address. After
// 2 s it replaces that backend by one of the original service at a new address.
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

// raceOperators makes operators put configurations concurrently. Then it puts one more, which must
// be in force on all sidecars within rolloutLimit.
func (d *Day) raceOperators() error {
	d.race(10)
	if err := d.putConfiguration(); err != nil {
		return err
	}
	return d.awaitRollout()
}

// race runs four operators concurrently. Each of them puts count different configurations, one after
// another.
func (d *Day) race(count int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for operator := range 4 {
		wg.Go(func() {
			for i := range count {
				body := append(d.Fleet.Configuration(), fmt.Sprintf("%*s", 1+operator*100+i, " ")...)
				r, err := d.Fleet.Operate(d.ctx, d.Fleet.Replicas[operator%len(d.Fleet.Replicas)], http.MethodPut, "/v1/desired", body)
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

// putInvalid puts an invalid configuration, which must be rejected with status 422.
func (d *Day) putInvalid() error {
	r, err := d.Fleet.Operate(d.ctx, d.Fleet.Replicas[0], http.MethodPut, "/v1/desired", []byte(`{"ways":[{"name":"x"}]}`))
	if err == nil && r.Status != http.StatusUnprocessableEntity {
		d.breach("an invalid configuration got status %d, want 422", r.Status)
	}
	return err
}

// evacuate evacuates a random zone for 7 s.
func (d *Day) evacuate() error {
	return d.withZoneEvacuated(func() error { d.sleep(7 * time.Second); return nil })
}

// withZoneEvacuated evacuates a random zone, runs an action, and restores the zone.
func (d *Day) withZoneEvacuated(action func() error) error {
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

// jumpClocks shifts the wall clocks of a third of the processes by up to 100 hours, forwards or
// backwards. After 2 s, the newest configuration must be in force on all sidecars within rolloutLimit.
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

// garbleAnswers makes all running backends lose or garble 10 % of their answers for 4 s, after they have
// run the requests.
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

// withBackendLeaving makes a random backend leave, starts another in its place, runs an action, and
// kills the first one.
func (d *Day) withBackendLeaving(action func() error) error {
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

// zoneLossDuringRollingRestart powers a zone off when half of the processes have been restarted in
// turn, and restarts the other half before the zone is started again.
func (d *Day) zoneLossDuringRollingRestart() error {
	return d.withBackendLeaving(func() error {
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
		return d.withZoneOff(func() error { return restart(programs[len(programs)/2:]) })
	})
}

// raceDuringPartition makes operators put configurations concurrently while the replicas are
// partitioned. A configuration that is put after healing must be in force within rolloutLimit.
func (d *Day) raceDuringPartition() error {
	return d.withBackendLeaving(func() error {
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

// replaceDuringEvacuation replaces a replica while a zone is evacuated and a backend leaves.
func (d *Day) replaceDuringEvacuation() error {
	return d.withZoneEvacuated(func() error {
		return d.withBackendLeaving(func() error {
			if err := d.replaceReplica(); err != nil {
				return err
			}
			d.sleep(6 * time.Second)
			return nil
		})
	})
}
