package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/faultproxy"
	"curlewwalk/tests/ledger"
)

// Fleet is a running fleet.
type Fleet struct {
	Size          Size
	Site          *Site
	Binaries      Binaries
	Dir           string
	Replicas      []*Program
	Sidecars      []*Program
	Backends      []*fakes.Backend
	Ledger        *ledger.Ledger
	HTTP          *http.Client
	FirstRevision uint64                       // stamp of the configuration that Start put
	Network       *faultproxy.Network          // set if relays stand between the machines
	proxies       map[string]*faultproxy.Proxy // by machine
}

// ports on every machine
const (
	portTransport   = 7400
	portBehindProxy = 7399 // where wire binds when a relay stands on portWire
	portControl     = 7401
	portRequests    = 7402
	portBackend     = 8000
)

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// New lays a fleet out without starting anything.
func New(size Size, bin Binaries) (*Fleet, error) {
	site, err := NewSite()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "curlewwalk-fleet-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Size: size, Site: site, Binaries: bin, Dir: dir, Ledger: ledger.New(),
		HTTP: fakes.NewHTTPClient(),
	}
	for i := range size.Replicas {
		f.Replicas = append(f.Replicas, f.NewReplica(i+1, f.ReplicaIP(i+1), filepath.Join(dir, fmt.Sprintf("core-%d", i+1))))
	}
	for i := range size.Machines {
		f.Sidecars = append(f.Sidecars, f.newSidecar(i))
	}
	return f, nil
}

// ReplicaIP is where the core of a slot stands first.
func (f *Fleet) ReplicaIP(member int) string { return f.Site.IP(200 + member) }

// Seeds are the seeds of every process: two cores and a sidecar.
func (f *Fleet) Seeds() []string {
	out := []string{hostPort(f.ReplicaIP(1), portTransport), hostPort(f.Site.IP(0), portTransport)}
	if f.Size.Replicas != 1 {
		out = append(out, hostPort(f.ReplicaIP(2), portTransport))
	}
	return out
}

func (f *Fleet) program(name, program, ip, zone string, more ...string) *Program {
	args := []string{"--wire=" + hostPort(ip, portTransport), "--control=" + hostPort(ip, portControl), "--locality=" + zone}
	for _, s := range f.Seeds() {
		args = append(args, "--seed="+s)
	}
	return &Program{Name: name, IP: ip, Control: hostPort(ip, portControl), path: f.Binaries.Path(program), args: append(args, more...), clockFile: filepath.Join(f.Dir, "clock-"+ip), diskFile: filepath.Join(f.Dir, "disk-"+ip)}
}

// NewReplica lays a core out for a slot, at any address and data folder.
func (f *Fleet) NewReplica(member int, ip, data string) *Program {
	return f.program(fmt.Sprintf("core-%d", member), "controlplane", ip, f.Zone(member-1), fmt.Sprintf("--slot=%d", member), fmt.Sprintf("--slots=%d", f.Size.Replicas), "--data="+data)
}

// NewJoiner lays a core out that has no static seat: the nth machine of cores, which
// asks the others for one. With founders it is of a system's first start.
func (f *Fleet) NewJoiner(n int, data string, founders ...string) *Program {
	p := f.program(fmt.Sprintf("core-%d", n), "controlplane", f.ReplicaIP(n), f.Zone(n-1), "--data="+data)
	f.Replicas = append(f.Replicas, p)
	if len(founders) > 0 {
		p.AddArgs("--first")
	}
	for _, a := range founders {
		p.AddArgs("--founders=" + a)
	}
	return p
}

// ReplicaAddress is the address of the nth machine of cores for the system's own processes.
func (f *Fleet) ReplicaAddress(n int) string { return hostPort(f.ReplicaIP(n), portTransport) }

// Zone is where the nth machine stands.
func (f *Fleet) Zone(n int) string { return f.Size.Zones[n%len(f.Size.Zones)] }

func (f *Fleet) newSidecar(i int) *Program {
	ip := f.Site.IP(i)
	return f.program(fmt.Sprintf("sidecar-%d", i), "sidecar", ip, f.Zone(i), "--inquiries="+hostPort(ip, portRequests))
}

// RequestAddress is where clients of the nth machine send.
func (f *Fleet) RequestAddress(n int) string { return hostPort(f.Site.IP(n), portRequests) }

// Start starts everything, puts the configuration and waits until it is in
// force and the backends are known everywhere.
func (f *Fleet) Start(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(f.Replicas)+len(f.Sidecars))
	for _, p := range f.Programs() {
		wg.Go(func() { errs <- p.Start() })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	for _, p := range f.Replicas {
		if err := p.AwaitReady(ctx); err != nil {
			return err
		}
	}
	revision, err := f.PutConfiguration(ctx, 0, f.Configuration())
	if err != nil {
		return err
	}
	f.FirstRevision = revision
	for i, svc := range f.Size.Backends {
		if _, err := f.StartBackend(i, svc, fmt.Sprintf("%s-%d", svc, i), portBackend); err != nil {
			return err
		}
	}
	for _, p := range f.Sidecars {
		if err := p.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return f.AwaitServing(ctx, revision, len(f.Size.Backends))
}

// Programs are all processes of the system.
func (f *Fleet) Programs() []*Program {
	return append(append([]*Program{}, f.Replicas...), f.Sidecars...)
}

// InterposeProxies puts a relay before every process, so that machines can be cut off.
// It comes before Start.
func (f *Fleet) InterposeProxies() error {
	f.Network, f.proxies = faultproxy.NewNetwork(), map[string]*faultproxy.Proxy{}
	for _, p := range f.Programs() {
		if err := f.InterposeProxy(p); err != nil {
			return err
		}
	}
	return nil
}

// InterposeProxy puts a relay before one process.
func (f *Fleet) InterposeProxy(p *Program) error {
	r, err := f.Network.Listen(hostPort(p.IP, portTransport), hostPort(p.IP, portBehindProxy))
	if err != nil {
		return err
	}
	f.proxies[p.IP] = r
	p.AddArgs("--wire="+hostPort(p.IP, portBehindProxy), "--advertise="+hostPort(p.IP, portTransport))
	return nil
}

// Kill ends processes at once; their addresses refuse connections then.
func (f *Fleet) Kill(ps ...*Program) {
	for _, p := range ps {
		p.Kill()
		if r := f.proxies[p.IP]; r != nil {
			r.Refuse()
		}
	}
}

// JumpClock puts a program's wall clock off by so much from now on, also when it is
// started again.
func (f *Fleet) JumpClock(p *Program, by time.Duration) error {
	return os.WriteFile(p.clockFile, []byte(by.String()), 0o640)
}

// The troubles that a disk may have.
const (
	DiskHealthy = "well"
	DiskStall   = "stall" // no write comes to an end
	DiskFull    = "full"  // each write fails
	DiskSlow    = "slow"  // each write takes 0.3 s longer
)

// SetDiskFault gives a core's disk a trouble from now on.
func (f *Fleet) SetDiskFault(p *Program, fault string) error {
	return os.WriteFile(p.diskFile, []byte(fault), 0o640)
}

// PowerOff kills processes together with all that was still on its way from or
// to them.
func (f *Fleet) PowerOff(ps ...*Program) {
	for _, p := range ps {
		f.proxies[p.IP].Drop()
	}
	f.Kill(ps...)
}

// ResetConnections ends all connections that others have to a process.
func (f *Fleet) ResetConnections(p *Program) {
	if proxy := f.proxies[p.IP]; proxy != nil {
		proxy.Drop()
	}
}

// PowerOffZone kills all that stands in one zone, backends included.
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

// Restart starts processes again that were ended.
func (f *Fleet) Restart(ps ...*Program) error {
	for _, p := range ps {
		if r := f.proxies[p.IP]; r != nil {
			r.Refuse() // one that stopped by itself still accepts
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

// StartBackend starts a backend on the nth machine.
func (f *Fleet) StartBackend(n int, service, instance string, port int) (*fakes.Backend, error) {
	return f.StartBackendOn(hostPort(f.Site.IP(n), port), n, service, instance, 0)
}

// StartBackendOn starts a backend at an address of the nth machine; share is
// how warm it says that it is, zero for warm.
func (f *Fleet) StartBackendOn(addr string, n int, service, instance string, share float64) (*fakes.Backend, error) {
	b := &fakes.Backend{
		Instance: instance, Service: service, Zone: f.Zone(n), Capacity: f.Size.Capacity, Warmth: share, SlowFactor: f.Size.SlowFactor[f.Zone(n)],
		Control: f.Sidecars[n].Control, RequestPlans: f.Size.Plans, Ledger: f.Ledger, HTTP: f.HTTP,
	}
	f.Backends = append(f.Backends, b)
	return b, b.Start(addr)
}

// sidecarNode is what is read of GET /v1/nodes.
type sidecarNode struct {
	Address  string `json:"address"`
	Backends []struct {
		Instance string `json:"instance"`
		Leaving  bool   `json:"leaving"`
	} `json:"backends"`
}

// AwaitServing waits until every sidecar has a stamp in force and knows of a
// number of backends that are not leaving.
func (f *Fleet) AwaitServing(ctx context.Context, revision uint64, backends int) error {
	for _, p := range f.Sidecars {
		if !p.Running() {
			continue
		}
		err := Await(ctx, fmt.Sprintf("%s at stamp %d with %d backends", p.Name, revision, backends), func(ctx context.Context) bool {
			known, ok := servingBackends(ctx, p)
			if !ok || known != backends {
				return false
			}
			current, err := f.Revision(ctx, p)
			return err == nil && current >= revision
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// servingBackends counts the backends that a sidecar knows of and that are not leaving; ok
// is false if it does not answer.
func servingBackends(ctx context.Context, p *Program) (count int, ok bool) {
	var nodes []sidecarNode
	if _, err := p.Get(ctx, "/v1/nodes", &nodes); err != nil {
		return 0, false
	}
	for _, node := range nodes {
		for _, backend := range node.Backends {
			if !backend.Leaving {
				count++
			}
		}
	}
	return count, true
}

// Revision reads the stamp that a sidecar has in force.
func (f *Fleet) Revision(ctx context.Context, p *Program) (uint64, error) {
	var st struct {
		Stamp uint64 `json:"stamp"`
	}
	_, err := p.Get(ctx, "/v1/stats", &st)
	return st.Stamp, err
}

// Configuration is the fleet's plans as an operator would put them.
func (f *Fleet) Configuration() []byte {
	var routes, contracts []map[string]any
	for _, p := range f.Size.Plans {
		routes = append(routes, map[string]any{"name": p.Name, "prefix": p.Prefix, "methods": []string{p.Method}, "service": p.Service, "contract": p.Name, "repeatable": p.Idempotent})
		contracts = append(contracts, map[string]any{"name": p.Name, "aim": p.LatencyTarget.String(), "expiry": p.Deadline.String(), "rank": p.Priority})
	}
	b, _ := json.MarshalIndent(map[string]any{"ways": routes, "contracts": contracts}, "", "  ")
	return b
}

// ReplicaIPs are the machines of the cores.
func (f *Fleet) ReplicaIPs() (out []string) {
	for _, p := range f.Replicas {
		out = append(out, p.IP)
	}
	return out
}

// NewClient makes a client on the nth machine.
func (f *Fleet) NewClient(n int, rate float64) *fakes.Client {
	return &fakes.Client{Name: fmt.Sprintf("caller-%d", n), Address: f.RequestAddress(n), Zone: f.Zone(n), Rate: rate, Plans: f.Size.Plans, Ledger: f.Ledger, HTTP: f.HTTP, Seed: uint64(n)}
}

// RunClients has clients on all machines send at the fleet's rate until ctx ends.
func (f *Fleet) RunClients(ctx context.Context, clients ...*fakes.Client) {
	var wg sync.WaitGroup
	for _, c := range clients {
		wg.Go(func() { c.Run(ctx) })
	}
	wg.Wait()
}

// Clients makes a client for every machine, sharing the fleet's rate.
func (f *Fleet) Clients() []*fakes.Client {
	var out []*fakes.Client
	for i := range f.Sidecars {
		out = append(out, f.NewClient(i, f.Size.Rate/float64(len(f.Sidecars))))
	}
	return out
}

// Close ends everything that is still running.
func (f *Fleet) Close() {
	for _, b := range f.Backends {
		b.Kill()
	}
	for _, r := range f.proxies {
		r.Close()
	}
	for _, p := range f.Programs() {
		if p.cmd != nil && p.Running() {
			p.Kill()
		}
	}
	f.Site.Close()
	os.RemoveAll(f.Dir)
}
