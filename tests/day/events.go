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
	do   func() error
}

// all lists the brief's failures.
func (d *Day) all() []event {
	f := d.F
	anySidecar := func() *fleet.Program { return f.Sidecars[d.rng.IntN(len(f.Sidecars))] }
	anyCore := func() *fleet.Program { return f.Cores[d.rng.IntN(len(f.Cores))] }
	kill := func(pick func() []*fleet.Program, down time.Duration) func() error {
		return func() error {
			ps := pick()
			f.Kill(ps...)
			d.pause(down)
			return f.Revive(ps...)
		}
	}
	one := func(pick func() *fleet.Program) func() []*fleet.Program {
		return func() []*fleet.Program { return []*fleet.Program{pick()} }
	}
	return []event{
		{"a sidecar is killed", kill(one(anySidecar), time.Second)},
		{"a core is killed", kill(one(anyCore), time.Second)},
		{"all sidecars are killed", kill(func() []*fleet.Program { return f.Sidecars }, time.Second)},
		{"all cores are killed", kill(func() []*fleet.Program { return f.Cores }, 6*time.Second)},
		{"everything is killed", kill(f.Programs, time.Second)},
		{"a sidecar is frozen and woken", d.freeze(anySidecar, 6*time.Second)},
		{"a core is frozen and woken", d.freeze(anyCore, 6*time.Second)},
		{"a machine is cut off", d.cut(func() []string { return []string{anySidecar().IP} })},
		{"a core is cut off", d.cut(func() []string { return []string{anyCore().IP} })},
		{"the cores are split", d.cut(func() (side []string) {
			for _, i := range d.rng.Perm(len(f.Cores))[:len(f.Cores)/2] {
				side = append(side, f.Cores[i].IP)
			}
			return side
		})},
		{"a locality loses power", d.blackout},
		{"machines stop and start in turn", d.rolling},
		{"a core machine is swapped", d.swap},
		{"a backend leaves and is replaced", d.replace},
		{"a backend dies, its address passes", d.pass},
		{"configurations race and storm", d.storm},
		{"an invalid configuration", d.invalid},
		{"a locality is emptied, taken back", d.empty},
		{"wall clocks jump", d.clocks},
		{"answers are lost and wrong", d.garble},
		{"a locality is lost in a restart in turn", d.lostInTurn},
		{"a storm in a split", d.stormInSplit},
		{"a core is swapped in an emptying", d.swapInEmptying},
	}
}

func (d *Day) freeze(pick func() *fleet.Program, t time.Duration) func() error {
	return func() error {
		p := pick()
		p.Signal(syscall.SIGSTOP)
		d.pause(t)
		p.Signal(syscall.SIGCONT)
		return nil
	}
}

func (d *Day) cut(side func() []string) func() error {
	return func() error {
		d.F.Net.Split(side()...)
		d.pause(4 * time.Second)
		err := d.put()
		d.F.Net.Whole()
		return err
	}
}

// blackout has one zone lose power for a while.
func (d *Day) blackout() error {
	return d.blackoutWhile(func() error { d.pause(5 * time.Second); return nil })
}

// blackoutWhile kills all that stands in one zone, backends included, and
// starts it again once something else is done.
func (d *Day) blackoutWhile(do func() error) error {
	zone := d.F.Size.Zones[d.rng.IntN(len(d.F.Size.Zones))]
	dead, gone := d.F.Blackout(zone)
	var again []int
	for _, b := range gone {
		if machine, ok := d.standing[b]; ok {
			delete(d.standing, b)
			again = append(again, machine)
		}
	}
	if err := do(); err != nil {
		return err
	}
	if err := d.F.Revive(dead...); err != nil {
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
	svc := d.F.Size.Backends[machine]
	b, err := d.F.StartBackendOn(fmt.Sprintf("%s:%d", d.F.Site.IP(machine), 8000+d.serial), machine, svc, fmt.Sprintf("%s-%d-%d", svc, machine, d.serial), share)
	if err == nil {
		d.standing[b] = machine
	}
	return err
}

// rolling restarts every process in turn; nothing handed over may be dropped.
func (d *Day) rolling() error {
	before := d.F.Ledger.Judge()
	for _, p := range d.F.Programs() {
		if code := p.Stop(); code != 0 {
			d.wrong("%s ended with %d", p.Name, code)
		}
		if err := d.F.Revive(p); err != nil {
			return err
		}
		if err := p.Ready(d.ctx); err != nil {
			return err
		}
	}
	after := d.F.Ledger.Judge()
	if n := after.Cut - before.Cut; n > 0 {
		d.wrong("planned restarts dropped %d inquiries: %v", n, slices.DeleteFunc(after.Cuts, func(c string) bool { return slices.Contains(before.Cuts, c) }))
	}
	return nil
}

// swap puts an empty machine in the place of a core, at a new address.
func (d *Day) swap() error {
	i := d.rng.IntN(len(d.F.Cores))
	d.serial++
	old := d.F.Cores[i]
	d.F.Kill(old)
	p := d.F.NewCore(i+1, d.F.Site.IP(400+d.serial), filepath.Join(d.F.Dir, fmt.Sprintf("core-%d-%d", i+1, d.serial)))
	if err := d.F.RelayBefore(p); err != nil {
		return err
	}
	d.F.Cores[i] = p
	if err := p.Start(); err != nil {
		return err
	}
	return p.Ready(d.ctx)
}

func (d *Day) anyBackend() (*fakes.Backend, int) {
	i := d.rng.IntN(len(d.standing))
	for _, b := range d.F.Backends { // in the order of their start, so that a seed repeats
		if machine, ok := d.standing[b]; ok {
			if i == 0 {
				return b, machine
			}
			i--
		}
	}
	panic("not reached")
}

func (d *Day) replace() error {
	b, machine := d.anyBackend()
	if err := b.Leave(d.ctx); err != nil {
		return err
	}
	if err := d.startBackend(machine, 0.3); err != nil {
		return err
	}
	d.pause(3 * time.Second)
	b.Kill()
	delete(d.standing, b)
	return nil
}

// pass has a backend die and its address taken by one of another service.
func (d *Day) pass() error {
	b, machine := d.anyBackend()
	addr := b.Addr()
	b.Kill()
	delete(d.standing, b)
	d.pause(2 * time.Second)
	d.serial++
	services := d.F.Size.Backends
	svc := services[(machine+1)%len(services)]
	n, err := d.F.StartBackendOn(addr, machine, svc, fmt.Sprintf("%s-%d-%d", svc, machine, d.serial), 0)
	if err != nil {
		return err
	}
	d.pause(2 * time.Second)
	n.Kill()
	return d.startBackend(machine, 0)
}

// storm has operators race; each sidecar must have the newest in 2 s.
func (d *Day) storm() error {
	d.race(10)
	if err := d.put(); err != nil {
		return err
	}
	return d.inForce()
}

// race has four operators put so many configurations each at once.
func (d *Day) race(each int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for i := range each {
				body := append(d.F.Configuration(), fmt.Sprintf("%*s", 1+w*100+i, " ")...)
				r, err := d.F.Operate(d.ctx, d.F.Cores[w%len(d.F.Cores)], http.MethodPut, "/v1/desired", body)
				if err == nil && r.Status == http.StatusOK {
					mu.Lock()
					d.took(r.Stamp, body)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
}

func (d *Day) invalid() error {
	r, err := d.F.Operate(d.ctx, d.F.Cores[0], http.MethodPut, "/v1/desired", []byte(`{"ways":[{"name":"x"}]}`))
	if err == nil && r.Status != http.StatusUnprocessableEntity {
		d.wrong("an invalid configuration got %d", r.Status)
	}
	return err
}

func (d *Day) empty() error {
	return d.emptyWhile(func() error { d.pause(7 * time.Second); return nil })
}

// emptyWhile has a zone emptied, and taken back once something else is done.
func (d *Day) emptyWhile(do func() error) error {
	zone := d.F.Size.Zones[d.rng.IntN(len(d.F.Size.Zones))]
	if _, err := d.F.Empty(d.ctx, d.F.Cores[0], zone); err != nil {
		return err
	}
	if err := do(); err != nil {
		return err
	}
	_, err := d.F.TakeBack(d.ctx, d.F.Cores[0], zone)
	return err
}

// clocks has the wall clocks of some machines jump by hours, both ways.
func (d *Day) clocks() error {
	ps := d.F.Programs()
	for _, i := range d.rng.Perm(len(ps))[:len(ps)/3] {
		if err := d.F.Jump(ps[i], time.Duration(d.rng.Int64N(int64(200*time.Hour)))-100*time.Hour); err != nil {
			return err
		}
	}
	d.pause(2 * time.Second)
	return d.inForce()
}

// garble has some backends lose a part of their answers or send wrong bytes, after
// they have run what they were asked.
func (d *Day) garble() error {
	for b := range d.standing {
		b.Garble.Store(10)
	}
	d.pause(4 * time.Second)
	for b := range d.standing {
		b.Garble.Store(0)
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
	delete(d.standing, b)
	return err
}

// lostInTurn has a zone lose power half way through a restart of all others in
// turn.
func (d *Day) lostInTurn() error {
	return d.leaveUnder(func() error {
		ps := d.F.Programs()
		restart := func(ps []*fleet.Program) error {
			for _, p := range ps {
				if !p.Running() {
					continue
				}
				p.Stop()
				if err := d.F.Revive(p); err != nil {
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

// stormInSplit has operators race while the cores are split, and checks what is in
// force once they are whole.
func (d *Day) stormInSplit() error {
	return d.leaveUnder(func() error {
		var side []string
		for _, i := range d.rng.Perm(len(d.F.Cores))[:len(d.F.Cores)/2] {
			side = append(side, d.F.Cores[i].IP)
		}
		d.F.Net.Split(side...)
		d.race(3)
		d.F.Net.Whole()
		if err := d.put(); err != nil {
			return err
		}
		return d.inForce()
	})
}

// swapInEmptying puts an empty machine in a core's place while a zone is being
// emptied.
func (d *Day) swapInEmptying() error {
	return d.emptyWhile(func() error {
		return d.leaveUnder(func() error {
			if err := d.swap(); err != nil {
				return err
			}
			d.pause(6 * time.Second)
			return nil
		})
	})
}
