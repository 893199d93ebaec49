package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"curlewwalk/tests/fakes"
)

// StartBackend starts a warm backend on the nth machine.
func (f *Fleet) StartBackend(n int, service, instance string, port int) (*fakes.Backend, error) {
	return f.StartBackendOn(hostPort(f.Site.IP(n), port), n, service, instance, 0)
}

// StartBackendOn starts a backend at an address of the nth machine. warmth is the share of its
// capacity that it announces; zero for all of it.
func (f *Fleet) StartBackendOn(addr string, n int, service, instance string, warmth float64) (*fakes.Backend, error) {
	b := &fakes.Backend{
		Instance: instance, Service: service, Zone: f.Zone(n), Capacity: f.Size.Capacity, Warmth: warmth, SlowFactor: f.Size.SlowFactor[f.Zone(n)],
		Control: f.Sidecars[n].Control, RequestPlans: f.Size.Plans, Ledger: f.Ledger, HTTP: f.HTTP,
	}
	f.Backends = append(f.Backends, b)
	return b, b.Start(addr)
}

// Configuration is the configuration of the fleet's request plans, as operators put it.
func (f *Fleet) Configuration() []byte {
	var routes, contracts []map[string]any
	for _, p := range f.Size.Plans {
		routes = append(routes, map[string]any{"name": p.Name, "prefix": p.Prefix, "methods": []string{p.Method}, "service": p.Service, "contract": p.Name, "repeatable": p.Idempotent})
		contracts = append(contracts, map[string]any{"name": p.Name, "aim": p.LatencyTarget.String(), "expiry": p.Deadline.String(), "rank": p.Priority})
	}
	b, _ := json.MarshalIndent(map[string]any{"ways": routes, "contracts": contracts}, "", "  ")
	return b
}

// NewClient makes a client on the nth machine that sends so many requests a second.
func (f *Fleet) NewClient(n int, rate float64) *fakes.Client {
	return &fakes.Client{Name: fmt.Sprintf("caller-%d", n), Address: f.RequestAddress(n), Zone: f.Zone(n), Rate: rate, Plans: f.Size.Plans, Ledger: f.Ledger, HTTP: f.HTTP, Seed: uint64(n)}
}

// RunClients runs clients until ctx ends and all their answers are in.
func (*Fleet) RunClients(ctx context.Context, clients ...*fakes.Client) {
	var wg sync.WaitGroup
	for _, c := range clients {
		wg.Go(func() { c.Run(ctx) })
	}
	wg.Wait()
}

// Clients makes a client for every machine; together they send at the fleet's rate.
func (f *Fleet) Clients() []*fakes.Client {
	var out []*fakes.Client
	for i := range f.Sidecars {
		out = append(out, f.NewClient(i, f.Size.Rate/float64(len(f.Sidecars))))
	}
	return out
}
