package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"curlewwalk/tests/fakes"
)

// StartBackend starts a fully warm backend on the nth machine.
func (f *Fleet) StartBackend(n int, service, instance string, port int) (*fakes.Backend, error) {
	return f.StartBackendOn(hostPort(f.Site.IP(n), port), n, service, instance, 0)
}

// StartBackendOn starts a backend at an address of the nth machine. warmth is the share of the
// capacity that is announced as warmed up. Zero means a fully warm backend.
func (f *Fleet) StartBackendOn(addr string, n int, service, instance string, warmth float64) (*fakes.Backend, error) {
	b := &fakes.Backend{
		Instance: instance, Service: service, Zone: f.Zone(n), Capacity: f.Size.Capacity, Warmth: warmth, SlowFactor: f.Size.SlowFactor[f.Zone(n)],
		Control: f.Sidecars[n].Control, RequestPlans: f.Size.Plans, Ledger: f.Ledger, HTTP: f.HTTP,
	}
	f.Backends = append(f.Backends, b)
	return b, b.Start(addr)
}

// Configuration returns the JSON configuration of the routes and contracts for the fleet's request
// plans, in the form that operators put.
func (f *Fleet) Configuration() []byte {
	var routes, contracts []map[string]any
	for _, p := range f.Size.Plans {
		routes = append(routes, map[string]any{"name": p.Name, "prefix": p.Prefix, "methods": []string{p.Method}, "service": p.Service, "contract": p.Name, "repeatable": p.Idempotent})
		contracts = append(contracts, map[string]any{"name": p.Name, "aim": p.LatencyTarget.String(), "expiry": p.Deadline.String(), "rank": p.Priority})
	}
	b, _ := json.MarshalIndent(map[string]any{"ways": routes, "contracts": contracts}, "", "  ")
	return b
}

// NewClient returns a client on the nth machine that sends rate requests per second.
func (f *Fleet) NewClient(n int, rate float64) *fakes.Client {
	return &fakes.Client{Name: fmt.Sprintf("caller-%d", n), Address: f.RequestAddress(n), Zone: f.Zone(n), Rate: rate, Plans: f.Size.Plans, Ledger: f.Ledger, HTTP: f.HTTP, Seed: uint64(n)}
}

// RunClients runs clients until ctx is done and all their requests have been answered.
func (*Fleet) RunClients(ctx context.Context, clients ...*fakes.Client) {
	var wg sync.WaitGroup
	for _, c := range clients {
		wg.Go(func() { c.Run(ctx) })
	}
	wg.Wait()
}

// Clients returns one client for each machine. Together the clients send at the fleet's rate.
func (f *Fleet) Clients() []*fakes.Client {
	var out []*fakes.Client
	for i := range f.Sidecars {
		out = append(out, f.NewClient(i, f.Size.Rate/float64(len(f.Sidecars))))
	}
	return out
}
