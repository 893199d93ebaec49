package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// exchanges collects the requests of all clients.
type exchanges struct {
	mu  sync.Mutex
	all []fakes.Exchange
}

// record takes in a request that has ended.
func (e *exchanges) record(x fakes.Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = append(e.all, x)
}

// startClients starts the clients of all machines, a client on each that requests marker routes,
// and the operator that reads all the time.
func (r *Run) startClients(ctx context.Context, all *sync.WaitGroup) {
	for machine := range r.Fleet.Sidecars {
		for n := range r.Plan.Clients {
			s := r.newClient(machine, fmt.Sprintf("client-%d-%d", machine, n))
			all.Go(func() { s.Run(ctx) })
		}
		s := r.newClient(machine, fmt.Sprintf("marks-%d", machine))
		s.AbandonRate = 0
		all.Go(func() { r.requestMarkers(ctx, s) })
	}
	all.Go(func() { r.readContinuously(ctx, rand.New(rand.NewPCG(r.Plan.Seed, 3))) })
}

// maxClientPause is the longest pause of a client between two requests.
const maxClientPause = 60 * time.Millisecond

// newClient makes a client on a machine.
func (r *Run) newClient(machine int, name string) *fakes.ConnectionClient {
	f := r.Fleet
	return &fakes.ConnectionClient{
		Name: name, Zone: f.Zone(machine), Address: f.RequestAddress(machine), Plans: f.Size.Plans, AbandonRate: r.Plan.AbandonRate, MaxPause: maxClientPause,
		Ledger: f.Ledger, OnExchange: r.exchanges.record, Rand: rand.New(rand.NewPCG(r.Plan.Seed, uint64(len(name))<<32+uint64(machine)<<8+uint64(name[len(name)-1]))),
	}
}

// reportPlan is of idempotent requests that take long. With them it shows what is done for clients
// that abandon their requests, and what is open at the end of a stop.
func reportPlan(size fleet.Size) fakes.RequestPlan {
	return fakes.RequestPlan{
		Name: "report", Method: http.MethodGet, Prefix: "/report/", Service: size.Backends[1], Idempotent: true,
		LatencyTarget: 1200 * time.Millisecond, Deadline: 8 * time.Second, Priority: 4, Share: 0.06, Work: 1200 * time.Millisecond,
	}
}

// markerInterval is how often each sidecar gets a request on a marker route.
const markerInterval = 250 * time.Millisecond

// requestMarkers sends requests on the marker routes of the newest configurations and of some
// before.
func (r *Run) requestMarkers(ctx context.Context, s *fakes.ConnectionClient) {
	marker := markerPlan(r.Fleet.Size)
	for ; ctx.Err() == nil; sleep(ctx, markerInterval) {
		newest := r.operator.newestSent(time.Now())
		number := max(1, int(newest)-s.Rand.IntN(markersPerConfiguration+2))
		p := marker
		p.Prefix = fmt.Sprintf("%s%d/", markerPathPrefix, number)
		p.Name = markerName(number)
		s.Send(ctx, p)
	}
}

const markerNamePrefix = "mark-"

// markerName is the name of the marker route of a configuration.
func markerName(number int) string { return markerNamePrefix + strconv.Itoa(number) }

// markerNumber is the configuration whose marker route a request was for; false if it was for no
// marker route.
func markerNumber(plan string) (number uint64, ok bool) {
	text, found := strings.CutPrefix(plan, markerNamePrefix)
	number, err := strconv.ParseUint(text, 10, 64)
	return number, found && err == nil
}

// awaitRecovery waits until each kind of request succeeds from every machine, which it must within
// recoveryLimit.
func (r *Run) awaitRecovery(ctx context.Context) {
	began := time.Now()
	var all sync.WaitGroup
	for machine := range r.Fleet.Sidecars {
		all.Go(func() { r.awaitMachineServes(ctx, machine, began.Add(recoveryLimit)) })
	}
	all.Wait()
	r.logf("service is back after %v", time.Since(began).Round(time.Millisecond))
}

// awaitMachineServes waits until each kind of request succeeds from a machine.
func (r *Run) awaitMachineServes(ctx context.Context, machine int, until time.Time) {
	s := r.newClient(machine, fmt.Sprintf("return-%d", machine))
	s.AbandonRate, s.OnExchange = 0, nil
	defer s.CloseConnection()
	for _, p := range r.Fleet.Size.Plans {
		served := p.Share == 0
		for !served && time.Now().Before(until) && ctx.Err() == nil {
			served = s.Send(ctx, p).Ending == fakes.Answered
			sleep(ctx, 50*time.Millisecond)
		}
		if !served && ctx.Err() == nil {
			r.breach(ruleRecover, "", "%s is not served from machine %d %v after the last fault", p.Name, machine, recoveryLimit)
			return
		}
	}
}
