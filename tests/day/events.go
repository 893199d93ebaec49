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

type event struct {
	name string
	run  func() error
}

// allEvents lists the brief's failures.
func (d *Day) allEvents() []event {
	f := d.Fleet
	anySidecar := func() *fleet.Program { return f.Sidecars[d.rng.IntN(len(f.Sidecars))] }
	anyCore := func() *fleet.Program { return f.Replicas[d.rng.IntN(len(f.Replicas))] }
	kill := func(pick func() []*fleet.Program, down time.Duration) func() error {
		return func() error {
			programs := pick()
			f.Kill(programs...)
			d.sleep(down)
			return f.Restart(programs...)
		}
	}
	one := func(pick func() *fleet.Program) func() []*fleet.Program {
		return func() []*fleet.Program { return []*fleet.Program{pick()} }
	}
	return []event{
		{"a sidecar is killed", kill(one(anySidecar), time.Second)},
		{"a core is killed", kill(one(anyCore), time.Second)},
		{"all sidecars are killed", kill(func() []*fleet.Program { return f.Sidecars }, time.Second)},
		{"all cores are killed", kill(func() []*fleet.Program { return f.Replicas }, 6*time.Second)},
		{"everything is killed", kill(f.Programs, time.Second)},
		{"a sidecar is frozen and woken", d.freeze(anySidecar, 6*time.Second)},
		{"a core is frozen and woken", d.freeze(anyCore, 6*time.Second)},
		{"a machine is cut off", d.partition(func() []string { return []string{anySidecar().IP} })},
		{"a core is cut off", d.partition(func() []string { return []string{anyCore().IP} })},
		{"the cores are split", d.partition(func() (side []string) {
			for _, i := range d.rng.Perm(len(f.Replicas))[:len(f.Replicas)/2] {
				side = append(side, f.Replicas[i].IP)
			}
			return side
		})},
		{"a locality loses power", d.blackout},
		{"machines stop and start in turn", d.rollingRestart},
		{"a core machine is swapped", d.replaceControlPlane},
		{"a backend leaves and is replaced", d.replaceBackend},
		{"a backend dies, its address passes", d.reuseAddress},
		{"configurations race and storm", d.raceOperators},
		{"an invalid configuration", d.putInvalid},
		{"a locality is emptied, taken back", d.evacuate},
		{"wall clocks jump", d.jumpClocks},
		{"answers are lost and wrong", d.garbleAnswers},
		{"a locality is lost in a restart in turn", d.zoneLossDuringRollingRestart},
		{"a storm in a split", d.raceDuringPartition},
		{"a core is swapped in an emptying", d.replaceDuringEvacuation},
	}
}

func (d *Day) freeze(pick func() *fleet.Program, t time.Duration) func() error {
	return func() error {
		p := pick()
		p.Signal(syscall.SIGSTOP)
		d.sleep(t)
		p.Signal(syscall.SIGCONT)
		return nil
	}
}

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

// blackoutWhile kills all that stands in one zone, backends included, and
// starts it again once something else is done.
func (d *Day) blackoutWhile(do func() error) error {
	zone := d.Fleet.Size.Zones[d.rng.IntN(len(d.Fleet.Size.Zones))]
	dead, gone := d.Fleet.PowerOffZone(zone)
	var again []int
	for _, b := range gone {
		if machine, ok := d.runningBackends[b]; ok {
			delete(d.runningBackends, b)
			again = append(again, machine)
		}
	}
	if err := do(); err != nil {
		return err
	}
	if err := d.Fleet.Restart(dead...); err != nil {
		return err
	}
	for _, machine := range again {
		if err := d.startBackend(machine, 0.5); err != nil {
			return err
		}
	}
	return nil
}

func (d *Day) startBackend(machine int, share float64) error {
	d.serial++
	svc := d.Fleet.Size.Backends[machine]
	b, err := d.Fleet.StartBackendOn(fmt.Sprintf("%s:%d", d.Fleet.Site.IP(machine), 8000+d.serial), machine, svc, fmt.Sprintf("%s-%d-%d", svc, machine, d.serial), share)
	if err == nil {
		d.runningBackends[b] = machine
	}
	return err
}

// rollingRestart restarts every process in turn; nothing handed over may be dropped.
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
		d.breach("planned restarts dropped %d inquiries: %v", n, slices.DeleteFunc(after.Interruptions, func(c string) bool { return slices.Contains(before.Interruptions, c) }))
	}
	return nil
}

// replaceControlPlane puts an empty machine in the place of a core, at a new address.
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

func (d *Day) anyBackend() (*fakes.Backend, int) {
	i := d.rng.IntN(len(d.runningBackends))
	for _, b := range d.Fleet.Backends { // in the order of their start, so that a seed repeats
		if machine, ok := d.runningBackends[b]; ok {
			if i == 0 {
				return b, machine
			}
			i--
		}
	}
	panic("not reached")
}

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

// reuseAddress has a backend die and its address taken by one of another service.
func (d *Day) reuseAddress() error {
	b, machine := d.anyBackend()
	addr := b.Addr()
	b.Kill()
	delete(d.runningBackends, b)
	d.sleep(2 * time.Second)
	d.serial++
	services := d.Fleet.Size.Backends
	svc := services[(machine+1)%len(services)]
	n, err := d.Fleet.StartBackendOn(addr, machine, svc, fmt.Sprintf("%s-%d-%d", svc, machine, d.serial), 0)
	if err != nil {
		return err
	}
	d.sleep(2 * time.Second)
	n.Kill()
	return d.startBackend(machine, 0)
}

// raceOperators has operators race; each sidecar must have the newest in 2 s.
func (d *Day) raceOperators() error {
	d.race(10)
	if err := d.putConfiguration(); err != nil {
		return err
	}
	return d.awaitRollout()
}

// race has four operators put so many configurations each at once.
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

func (d *Day) putInvalid() error {
	r, err := d.Fleet.Operate(d.ctx, d.Fleet.Replicas[0], http.MethodPut, "/v1/desired", []byte(`{"ways":[{"name":"x"}]}`))
	if err == nil && r.Status != http.StatusUnprocessableEntity {
		d.breach("an invalid configuration got %d", r.Status)
	}
	return err
}

func (d *Day) evacuate() error {
	return d.evacuateWhile(func() error { d.sleep(7 * time.Second); return nil })
}

// evacuateWhile has a zone emptied, and taken back once something else is done.
func (d *Day) evacuateWhile(do func() error) error {
	zone := d.Fleet.Size.Zones[d.rng.IntN(len(d.Fleet.Size.Zones))]
	if _, err := d.Fleet.EvacuateZone(d.ctx, d.Fleet.Replicas[0], zone); err != nil {
		return err
	}
	if err := do(); err != nil {
		return err
	}
	_, err := d.Fleet.RestoreZone(d.ctx, d.Fleet.Replicas[0], zone)
	return err
}

// jumpClocks has the wall clocks of some machines jump by hours, both ways.
func (d *Day) jumpClocks() error {
	ps := d.Fleet.Programs()
	for _, i := range d.rng.Perm(len(ps))[:len(ps)/3] {
		if err := d.Fleet.JumpClock(ps[i], time.Duration(d.rng.Int64N(int64(200*time.Hour)))-100*time.Hour); err != nil {
			return err
		}
	}
	d.sleep(2 * time.Second)
	return d.awaitRollout()
}

// garbleAnswers has some backends lose a part of their answers or send wrong bytes, after
// they have run what they were asked.
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

// leaveUnder has one backend leave and be replaced while something else goes on.
func (d *Day) leaveUnder(do func() error) error {
	b, machine := d.anyBackend()
	if err := b.Leave(d.ctx); err != nil {
		return err
	}
	if err := d.startBackend(machine, 0.5); err != nil {
		return err
	}
	err := do()
	b.Kill()
	delete(d.runningBackends, b)
	return err
}

// zoneLossDuringRollingRestart has a zone lose power half way through a restart of all others in
// turn.
func (d *Day) zoneLossDuringRollingRestart() error {
	return d.leaveUnder(func() error {
		ps := d.Fleet.Programs()
		restart := func(ps []*fleet.Program) error {
			for _, p := range ps {
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
		if err := restart(ps[:len(ps)/2]); err != nil {
			return err
		}
		return d.blackoutWhile(func() error { return restart(ps[len(ps)/2:]) })
	})
}

// raceDuringPartition has operators race while the cores are split, and checks what is in
// force once they are whole.
func (d *Day) raceDuringPartition() error {
	return d.leaveUnder(func() error {
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

// replaceDuringEvacuation puts an empty machine in a core's place while a zone is being
// emptied.
func (d *Day) replaceDuringEvacuation() error {
	return d.evacuateWhile(func() error {
		return d.leaveUnder(func() error {
			if err := d.replaceControlPlane(); err != nil {
				return err
			}
			d.sleep(6 * time.Second)
			return nil
		})
	})
}
