package fleet

import (
	"os"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/faultproxy"
)

// The faults of a disk.
const (
	DiskHealthy = "well"
	DiskStall   = "stall" // no write comes to an end
	DiskFull    = "full"  // each write fails
	DiskSlow    = "slow"  // each write takes 0.3 s longer
)

// InterposeProxies puts a proxy before every process, so that machines can be partitioned. It
// must come before Start.
func (f *Fleet) InterposeProxies() error {
	f.Network, f.proxies = faultproxy.NewNetwork(), map[string]*faultproxy.Proxy{}
	for _, p := range f.Programs() {
		if err := f.InterposeProxy(p); err != nil {
			return err
		}
	}
	return nil
}

// InterposeProxy puts a proxy before one process.
func (f *Fleet) InterposeProxy(p *Program) error {
	r, err := f.Network.Listen(hostPort(p.IP, portTransport), hostPort(p.IP, portBehindProxy))
	if err != nil {
		return err
	}
	f.proxies[p.IP] = r
	p.AddArgs("--wire="+hostPort(p.IP, portBehindProxy), "--advertise="+hostPort(p.IP, portTransport))
	return nil
}

// Kill kills processes; their addresses refuse connections from then on.
func (f *Fleet) Kill(ps ...*Program) {
	for _, p := range ps {
		p.Kill()
		if r := f.proxies[p.IP]; r != nil {
			r.Refuse()
		}
	}
}

// JumpClock puts the wall clock of a program off by so much from now on, also when it is started
// again.
func (*Fleet) JumpClock(p *Program, by time.Duration) error {
	return os.WriteFile(p.clockFile, []byte(by.String()), 0o640)
}

// SetDiskFault gives the disk of a replica a fault from now on.
func (*Fleet) SetDiskFault(p *Program, fault string) error {
	return os.WriteFile(p.diskFile, []byte(fault), 0o640)
}

// PowerOff kills processes, and all that was in flight from or to them is lost.
func (f *Fleet) PowerOff(ps ...*Program) {
	for _, p := range ps {
		f.proxies[p.IP].Drop()
	}
	f.Kill(ps...)
}

// ResetConnections closes all connections that others have to a process.
func (f *Fleet) ResetConnections(p *Program) {
	if proxy := f.proxies[p.IP]; proxy != nil {
		proxy.Drop()
	}
}

// PowerOffZone kills all processes in one zone, backends included, and returns them.
func (f *Fleet) PowerOffZone(zone string) (programs []*Program, backends []*fakes.Backend) {
	for i, p := range f.Sidecars {
		if f.Zone(i) == zone {
			programs = append(programs, p)
		}
	}
	for i, p := range f.Replicas {
		if f.Zone(i) == zone {
			programs = append(programs, p)
		}
	}
	for _, b := range f.Backends {
		if b.Zone == zone {
			b.Kill()
			backends = append(backends, b)
		}
	}
	f.Kill(programs...)
	return programs, backends
}

// Restart starts processes again that have ended.
func (f *Fleet) Restart(ps ...*Program) error {
	for _, p := range ps {
		if r := f.proxies[p.IP]; r != nil {
			r.Refuse() // the proxy of one that stopped by itself still accepts
			if err := r.Accept(); err != nil {
				return err
			}
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}
