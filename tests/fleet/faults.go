package fleet

import (
	"os"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/faultproxy"
)

// Disk states for SetDiskFault.
const (
	DiskHealthy = "well"  // no fault
	DiskStall   = "stall" // writes do not return
	DiskFull    = "full"  // each write fails
	DiskSlow    = "slow"  // each write takes an additional 0.3 s
)

// InterposeProxies puts a proxy in front of every process, so that machines can be partitioned. It
// must be called before Start.
func (f *Fleet) InterposeProxies() error {
	f.Network, f.proxies = faultproxy.NewNetwork(), map[string]*faultproxy.Proxy{}
	for _, p := range f.Programs() {
		if err := f.InterposeProxy(p); err != nil {
			return err
		}
	}
	return nil
}

// InterposeProxy puts a proxy in front of one process. It must be called before the process is
// started.
func (f *Fleet) InterposeProxy(p *Program) error {
	proxy, err := f.Network.Listen(hostPort(p.IP, portTransport), hostPort(p.IP, portBehindProxy))
	if err != nil {
		return err
	}
	f.proxies[p.IP] = proxy
	p.AddArgs("--wire="+hostPort(p.IP, portBehindProxy), "--advertise="+hostPort(p.IP, portTransport))
	return nil
}

// Kill kills processes. Afterwards their addresses refuse connections.
func (f *Fleet) Kill(ps ...*Program) {
	for _, p := range ps {
		p.Kill()
		if proxy := f.proxies[p.IP]; proxy != nil {
			proxy.Refuse()
		}
	}
}

// JumpClock sets the offset of the wall clock of a program. The offset takes effect at once and stays
// in effect after a restart of the program.
func (*Fleet) JumpClock(p *Program, by time.Duration) error {
	return os.WriteFile(p.clockFile, []byte(by.String()), 0o640)
}

// SetDiskFault sets the state of the disk of a replica to one of the Disk constants. It takes effect
// at once.
func (*Fleet) SetDiskFault(p *Program, fault string) error {
	return os.WriteFile(p.diskFile, []byte(fault), 0o640)
}

// PowerOff drops all connections through the proxies of processes and kills the processes. Data in
// flight on these connections is lost. Each process must have a proxy.
func (f *Fleet) PowerOff(ps ...*Program) {
	for _, p := range ps {
		f.proxies[p.IP].Drop()
	}
	f.Kill(ps...)
}

// ResetConnections closes all connections that other processes have opened to a process. It has no
// effect without a proxy.
func (f *Fleet) ResetConnections(p *Program) {
	if proxy := f.proxies[p.IP]; proxy != nil {
		proxy.Drop()
	}
}

// PowerOffZone kills all sidecars, replicas and backends in one zone and returns them. It does not
// drop connections at the proxies, as PowerOff does.
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

// Restart starts processes that have ended.
func (f *Fleet) Restart(ps ...*Program) error {
	for _, p := range ps {
		if proxy := f.proxies[p.IP]; proxy != nil {
			proxy.Refuse() // the proxy still accepts if the process was not ended by Kill
			if err := proxy.Accept(); err != nil {
				return err
			}
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}
