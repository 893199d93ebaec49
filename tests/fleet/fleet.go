package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/faultproxy"
	"curlewwalk/tests/ledger"
)

// Fleet consists of replicas, sidecars and backends, and a ledger of the requests. Its exported
// fields may be changed before Start.
type Fleet struct {
	Size     Size
	Site     *Site
	Binaries Binaries
	// Dir holds the data directories and the files that inject faults.
	Dir      string
	Replicas []*Program
	Sidecars []*Program
	Backends []*fakes.Backend
	Ledger   *ledger.Ledger
	HTTP     *http.Client
	// FirstRevision is the revision of the configuration that Start puts.
	FirstRevision uint64
	// Network controls the proxies between the machines. It is nil without proxies.
	Network *faultproxy.Network
	proxies map[string]*faultproxy.Proxy // by IP address of the machine
}

// Ports that the processes of every machine use.
const (
	portTransport   = 7400
	portBehindProxy = 7399 // transport port of a process whose proxy listens on portTransport
	portControl     = 7401
	portRequests    = 7402
	portBackend     = 8000
)

// hostPort returns the address in the form "ip:port".
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// New prepares a fleet. It starts no process.
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
		f.Replicas = append(f.Replicas, f.NewReplica(i+1, f.ReplicaIP(i+1), filepath.Join(dir, fmt.Sprintf("replica-%d", i+1))))
	}
	for i := range size.Machines {
		f.Sidecars = append(f.Sidecars, f.newSidecar(i))
	}
	return f, nil
}

// ReplicaIP returns the IP address of the machine on which a member first runs.
func (f *Fleet) ReplicaIP(member int) string { return f.Site.IP(200 + member) }

// Seeds returns the addresses at which every process looks for the other processes after its start.
// They are the addresses of the first two replicas, or of the only one, and of the first sidecar.
func (f *Fleet) Seeds() []string {
	out := []string{hostPort(f.ReplicaIP(1), portTransport), hostPort(f.Site.IP(0), portTransport)}
	if f.Size.Replicas != 1 {
		out = append(out, hostPort(f.ReplicaIP(2), portTransport))
	}
	return out
}

// program prepares a process with the settings that all processes have, and additional ones.
func (f *Fleet) program(name, program, ip, zone string, extra ...string) *Program {
	args := []string{"--wire=" + hostPort(ip, portTransport), "--control=" + hostPort(ip, portControl), "--locality=" + zone}
	for _, s := range f.Seeds() {
		args = append(args, "--seed="+s)
	}
	return &Program{Name: name, IP: ip, Control: hostPort(ip, portControl), path: f.Binaries.Path(program), args: append(args, extra...), clockFile: filepath.Join(f.Dir, "clock-"+ip), diskFile: filepath.Join(f.Dir, "disk-"+ip)}
}

// NewReplica prepares a replica with static membership at the given address and data directory.
func (f *Fleet) NewReplica(member int, ip, data string) *Program {
	return f.program(fmt.Sprintf("replica-%d", member), "controlplane", ip, f.Zone(member-1), fmt.Sprintf("--slot=%d", member), fmt.Sprintf("--slots=%d", f.Size.Replicas), "--data="+data)
}

// NewJoiner prepares a replica with dynamic membership on the nth machine for replicas. The replica
// requests to join the other replicas. If founders are given, it takes part in the first start of a
// cluster.
func (f *Fleet) NewJoiner(n int, data string, founders ...string) *Program {
	p := f.program(fmt.Sprintf("replica-%d", n), "controlplane", f.ReplicaIP(n), f.Zone(n-1), "--data="+data)
	f.Replicas = append(f.Replicas, p)
	if len(founders) > 0 {
		p.AddArgs("--first")
	}
	for _, address := range founders {
		p.AddArgs("--founders=" + address)
	}
	return p
}

// ReplicaAddress returns the transport address of the nth machine for replicas.
func (f *Fleet) ReplicaAddress(n int) string { return hostPort(f.ReplicaIP(n), portTransport) }

// Zone returns the zone of the nth machine.
func (f *Fleet) Zone(n int) string { return f.Size.Zones[n%len(f.Size.Zones)] }

// newSidecar prepares the sidecar of the nth machine.
func (f *Fleet) newSidecar(i int) *Program {
	ip := f.Site.IP(i)
	return f.program(fmt.Sprintf("sidecar-%d", i), "sidecar", ip, f.Zone(i), "--inquiries="+hostPort(ip, portRequests))
}

// RequestAddress returns the address to which clients on the nth machine send requests.
func (f *Fleet) RequestAddress(n int) string { return hostPort(f.Site.IP(n), portRequests) }

// Start starts all processes and backends and puts the configuration. It waits until the
// configuration is in force on all sidecars and all sidecars list all backends.
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

// Programs returns all replicas and, after them, all sidecars.
func (f *Fleet) Programs() []*Program {
	return append(append([]*Program{}, f.Replicas...), f.Sidecars...)
}

// ReplicaIPs returns the IP addresses of the machines of the replicas.
func (f *Fleet) ReplicaIPs() (out []string) {
	for _, p := range f.Replicas {
		out = append(out, p.IP)
	}
	return out
}

// Close stops all backends, proxies and processes, releases the address range, and deletes Dir.
func (f *Fleet) Close() {
	for _, b := range f.Backends {
		b.Kill()
	}
	for _, proxy := range f.proxies {
		proxy.Close()
	}
	for _, p := range f.Programs() {
		if p.cmd != nil && p.Running() {
			p.Kill()
		}
	}
	f.Site.Close()
	os.RemoveAll(f.Dir)
}
