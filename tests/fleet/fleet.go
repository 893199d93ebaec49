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
	Size     Size
	Site     *Site
	Bin      Binaries
	Dir      string
	Cores    []*Program
	Sidecars []*Program
	Backends []*fakes.Backend
	Ledger   *ledger.Ledger
	Client   *http.Client
	First    uint64                       // stamp of the configuration that Start put
	Net      *faultproxy.Net              // set if relays stand between the machines
	relays   map[string]*faultproxy.Relay // by machine
}

// ports on every machine
const (
	portWire     = 7400
	portBehind   = 7399 // where wire binds when a relay stands on portWire
	portControl  = 7401
	portRequests = 7402
	portBackend  = 8000
)

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

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
		Size: size, Site: site, Bin: bin, Dir: dir, Ledger: ledger.New(),
		Client: fakes.NewClient(),
	}
	for i := range size.Cores {
		f.Cores = append(f.Cores, f.NewCore(i+1, f.CoreIP(i+1), filepath.Join(dir, fmt.Sprintf("core-%d", i+1))))
	}
	for i := range size.Machines {
		f.Sidecars = append(f.Sidecars, f.newSidecar(i))
	}
	return f, nil
}

// CoreIP is where the core of a slot stands first.
func (f *Fleet) CoreIP(slot int) string { return f.Site.IP(200 + slot) }

// Seeds are the seeds of every process: two cores and a sidecar.
func (f *Fleet) Seeds() []string {
	out := []string{at(f.CoreIP(1), portWire), at(f.Site.IP(0), portWire)}
	if f.Size.Cores != 1 {
		out = append(out, at(f.CoreIP(2), portWire))
	}
	return out
}

func (f *Fleet) program(name, program, ip, zone string, more ...string) *Program {
	args := []string{"--wire=" + at(ip, portWire), "--control=" + at(ip, portControl), "--locality=" + zone}
	for _, s := range f.Seeds() {
		args = append(args, "--seed="+s)
	}
	return &Program{Name: name, IP: ip, Control: at(ip, portControl), path: f.Bin.Path(program), args: append(args, more...), clock: filepath.Join(f.Dir, "clock-"+ip), disk: filepath.Join(f.Dir, "disk-"+ip)}
}

// NewCore lays a core out for a slot, at any address and data folder.
func (f *Fleet) NewCore(slot int, ip, data string) *Program {
	return f.program(fmt.Sprintf("core-%d", slot), "controlplane", ip, f.Zone(slot-1), fmt.Sprintf("--slot=%d", slot), fmt.Sprintf("--slots=%d", f.Size.Cores), "--data="+data)
}

// NewComer lays a core out that has no static seat: the nth machine of cores, which
// asks the others for one. With founders it is of a system's first start.
func (f *Fleet) NewComer(n int, data string, founders ...string) *Program {
	p := f.program(fmt.Sprintf("core-%d", n), "controlplane", f.CoreIP(n), f.Zone(n-1), "--data="+data)
	f.Cores = append(f.Cores, p)
	if len(founders) > 0 {
		p.Args("--first")
	}
	for _, a := range founders {
		p.Args("--founders=" + a)
	}
	return p
}

// CoreWire is the address of the nth machine of cores for the system's own processes.
func (f *Fleet) CoreWire(n int) string { return at(f.CoreIP(n), portWire) }

// Zone is where the nth machine stands.
func (f *Fleet) Zone(n int) string { return f.Size.Zones[n%len(f.Size.Zones)] }

func (f *Fleet) newSidecar(i int) *Program {
	ip := f.Site.IP(i)
	return f.program(fmt.Sprintf("sidecar-%d", i), "sidecar", ip, f.Zone(i), "--inquiries="+at(ip, portRequests))
}

// Requests is where clients of the nth machine send.
func (f *Fleet) Requests(n int) string { return at(f.Site.IP(n), portRequests) }

// Start starts everything, puts the configuration and waits until it is in
// force and the backends are known everywhere.
func (f *Fleet) Start(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(f.Cores)+len(f.Sidecars))
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
	for _, p := range f.Cores {
		if err := p.Ready(ctx); err != nil {
			return err
		}
	}
	stamp, err := f.Put(ctx, 0, f.Configuration())
	if err != nil {
		return err
	}
	f.First = stamp
	for i, svc := range f.Size.Backends {
		if _, err := f.StartBackend(i, svc, fmt.Sprintf("%s-%d", svc, i), portBackend); err != nil {
			return err
		}
	}
	for _, p := range f.Sidecars {
		if err := p.Ready(ctx); err != nil {
			return err
		}
	}
	return f.AwaitServing(ctx, stamp, len(f.Size.Backends))
}

// Programs are all processes of the system.
func (f *Fleet) Programs() []*Program { return append(append([]*Program{}, f.Cores...), f.Sidecars...) }

// Relay puts a relay before every process, so that machines can be cut off.
// It comes before Start.
func (f *Fleet) Relay() error {
	f.Net, f.relays = faultproxy.NewNet(), map[string]*faultproxy.Relay{}
	for _, p := range f.Programs() {
		if err := f.RelayBefore(p); err != nil {
			return err
		}
	}
	return nil
}

// RelayBefore puts a relay before one process.
func (f *Fleet) RelayBefore(p *Program) error {
	r, err := f.Net.Listen(at(p.IP, portWire), at(p.IP, portBehind))
	if err != nil {
		return err
	}
	f.relays[p.IP] = r
	p.Args("--wire="+at(p.IP, portBehind), "--advertise="+at(p.IP, portWire))
	return nil
}

// Kill ends processes at once; their addresses refuse connections then.
func (f *Fleet) Kill(ps ...*Program) {
	for _, p := range ps {
		p.Kill()
		if r := f.relays[p.IP]; r != nil {
			r.Refuse()
		}
	}
}

// Jump puts a program's wall clock off by so much from now on, also when it is
// started again.
func (f *Fleet) Jump(p *Program, by time.Duration) error {
	return os.WriteFile(p.clock, []byte(by.String()), 0o640)
}

// The troubles that a disk may have.
const (
	DiskWell  = "well"
	DiskStall = "stall" // no write comes to an end
	DiskFull  = "full"  // each write fails
	DiskSlow  = "slow"  // each write takes 0.3 s longer
)

// Disk gives a core's disk a trouble from now on.
func (f *Fleet) Disk(p *Program, trouble string) error {
	return os.WriteFile(p.disk, []byte(trouble), 0o640)
}

// PowerOff kills processes together with all that was still on its way from or
// to them.
func (f *Fleet) PowerOff(ps ...*Program) {
	for _, p := range ps {
		f.relays[p.IP].Drop()
	}
	f.Kill(ps...)
}

// Reset ends all connections that others have to a process.
func (f *Fleet) Reset(p *Program) {
	if relay := f.relays[p.IP]; relay != nil {
		relay.Drop()
	}
}

// Blackout kills all that stands in one zone, backends included.
func (f *Fleet) Blackout(zone string) (dead []*Program, gone []*fakes.Backend) {
	for i, p := range f.Sidecars {
		if f.Zone(i) == zone {
			dead = append(dead, p)
		}
	}
	for i, p := range f.Cores {
		if f.Zone(i) == zone {
			dead = append(dead, p)
		}
	}
	for _, b := range f.Backends {
		if b.Zone == zone {
			b.Kill()
			gone = append(gone, b)
		}
	}
	f.Kill(dead...)
	return dead, gone
}

// Revive starts processes again that were ended.
func (f *Fleet) Revive(ps ...*Program) error {
	for _, p := range ps {
		if r := f.relays[p.IP]; r != nil {
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
	return f.StartBackendOn(at(f.Site.IP(n), port), n, service, instance, 0)
}

// StartBackendOn starts a backend at an address of the nth machine; share is
// how warm it says that it is, zero for warm.
func (f *Fleet) StartBackendOn(addr string, n int, service, instance string, share float64) (*fakes.Backend, error) {
	b := &fakes.Backend{
		Instance: instance, Service: service, Zone: f.Zone(n), Capacity: f.Size.Capacity, Share: share, Slow: f.Size.Slow[f.Zone(n)],
		Control: f.Sidecars[n].Control, Plans: f.Size.Plans, Ledger: f.Ledger, Client: f.Client,
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
func (f *Fleet) AwaitServing(ctx context.Context, stamp uint64, backends int) error {
	for _, p := range f.Sidecars {
		if !p.Running() {
			continue
		}
		err := Await(ctx, fmt.Sprintf("%s at stamp %d with %d backends", p.Name, stamp, backends), func(ctx context.Context) bool {
			known, ok := serving(ctx, p)
			if !ok || known != backends {
				return false
			}
			at, err := f.Stamp(ctx, p)
			return err == nil && at >= stamp
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// serving counts the backends that a sidecar knows of and that are not leaving; ok
// is false if it does not answer.
func serving(ctx context.Context, p *Program) (count int, ok bool) {
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

// Stamp reads the stamp that a sidecar has in force.
func (f *Fleet) Stamp(ctx context.Context, p *Program) (uint64, error) {
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
		routes = append(routes, map[string]any{"name": p.Name, "prefix": p.Prefix, "methods": []string{p.Method}, "service": p.Service, "contract": p.Name, "repeatable": p.Repeatable})
		contracts = append(contracts, map[string]any{"name": p.Name, "aim": p.Aim.String(), "expiry": p.Deadline.String(), "rank": p.Rank})
	}
	b, _ := json.MarshalIndent(map[string]any{"ways": routes, "contracts": contracts}, "", "  ")
	return b
}

// CoreIPs are the machines of the cores.
func (f *Fleet) CoreIPs() (out []string) {
	for _, p := range f.Cores {
		out = append(out, p.IP)
	}
	return out
}

// NewCaller makes a client on the nth machine.
func (f *Fleet) NewCaller(n int, rate float64) *fakes.Caller {
	return &fakes.Caller{Name: fmt.Sprintf("caller-%d", n), Addr: f.Requests(n), Zone: f.Zone(n), Rate: rate, Plans: f.Size.Plans, Ledger: f.Ledger, Client: f.Client, Seed: uint64(n)}
}

// Load has clients on all machines send at the fleet's rate until ctx ends.
func (f *Fleet) Load(ctx context.Context, callers ...*fakes.Caller) {
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Go(func() { c.Run(ctx) })
	}
	wg.Wait()
}

// Callers makes a client for every machine, sharing the fleet's rate.
func (f *Fleet) Callers() []*fakes.Caller {
	var out []*fakes.Caller
	for i := range f.Sidecars {
		out = append(out, f.NewCaller(i, f.Size.Rate/float64(len(f.Sidecars))))
	}
	return out
}

// Close ends everything that is still running.
func (f *Fleet) Close() {
	for _, b := range f.Backends {
		b.Kill()
	}
	for _, r := range f.relays {
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
