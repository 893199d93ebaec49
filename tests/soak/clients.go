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

// exchanges collects the ended requests of all clients. It is safe for concurrent use.
type exchanges struct {
	mu  sync.Mutex
	all []fakes.Exchange
}

// record adds a request that has ended.
func (e *exchanges) record(x fakes.Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = append(e.all, x)
}

// startClients starts the clients of all machines, one client on each machine that requests marker
// routes, and the operator that reads the configuration continuously. They run until ctx is done.
// The names of the clients must not change, because newClient seeds their random sources from them.
func (r *Run) startClients(ctx context.Context, all *sync.WaitGroup) {
	for machine := range r.Fleet.Sidecars {
		for n := range r.Plan.Clients {
			client := r.newClient(machine, fmt.Sprintf("client-%d-%d", machine, n))
			all.Go(func() { client.Run(ctx) })
		}
		client := r.newClient(machine, fmt.Sprintf("marks-%d", machine))
		client.AbandonRate = 0
		all.Go(func() { r.requestMarkers(ctx, client) })
	}
	all.Go(func() { r.readContinuously(ctx, rand.New(rand.NewPCG(r.Plan.Seed, 3))) })
}

// maxClientPause is the longest pause of a client between an answer and its next request.
const maxClientPause = 60 * time.Millisecond

// newClient returns a client on a machine. The random source of the client is seeded from the
// plan's seed, the number of the machine, and the length and the last character of the name.
func (r *Run) newClient(machine int, name string) *fakes.ConnectionClient {
	f := r.Fleet
	return &fakes.ConnectionClient{
		Name: name, Zone: f.Zone(machine), Address: f.RequestAddress(machine), Plans: f.Size.Plans, AbandonRate: r.Plan.AbandonRate, MaxPause: maxClientPause,
		Ledger: f.Ledger, OnExchange: r.exchanges.record, Rand: rand.New(rand.NewPCG(r.Plan.Seed, uint64(len(name))<<32+uint64(machine)<<8+uint64(name[len(name)-1]))),
	}
}

// reportPlan returns the plan of idempotent requests with long work. The work is long enough to
// show whether work continues after clients have abandoned their requests, and whether requests are
// still open at the end of a stop.
func reportPlan(size fleet.Size) fakes.RequestPlan {
	return fakes.RequestPlan{
		Name: "report", Method: http.MethodGet, Prefix: "/report/", Service: size.Backends[1], Idempotent: true,
		LatencyTarget: 1200 * time.Millisecond, Deadline: 8 * time.Second, Priority: 4, Share: 0.06, Work: 1200 * time.Millisecond,
	}
}

// markerInterval is the interval between two requests on marker routes to one sidecar.
const markerInterval = 250 * time.Millisecond

// requestMarkers sends requests on the marker routes of the newest configurations and of a few
// older ones until ctx is done.
func (r *Run) requestMarkers(ctx context.Context, client *fakes.ConnectionClient) {
	marker := markerPlan(r.Fleet.Size)
	for ; ctx.Err() == nil; sleep(ctx, markerInterval) {
		newest := r.operator.newestSent(time.Now())
		number := max(1, int(newest)-client.Rand.IntN(markersPerConfiguration+2))
		p := marker
		p.Prefix = fmt.Sprintf("%s%d/", markerPathPrefix, number)
		p.Name = markerName(number)
		client.Send(ctx, p)
	}
}

const markerNamePrefix = "mark-"

// markerName returns the name of the marker route of a configuration.
func markerName(number int) string { return markerNamePrefix + strconv.Itoa(number) }

// markerNumber returns the number of the configuration whose marker route a request used, given the
// name of its plan. It returns false if the request used no marker route.
func markerNumber(plan string) (number uint64, ok bool) {
	text, found := strings.CutPrefix(plan, markerNamePrefix)
	number, err := strconv.ParseUint(text, 10, 64)
	return number, found && err == nil
}

// awaitRecovery blocks until each kind of request succeeds from every machine. A machine where this
// takes over recoveryLimit is a breach.
func (r *Run) awaitRecovery(ctx context.Context) {
	began := time.Now()
	var all sync.WaitGroup
	for machine := range r.Fleet.Sidecars {
		all.Go(func() { r.awaitMachineServes(ctx, machine, began.Add(recoveryLimit)) })
	}
	all.Wait()
	r.logf("wait for recovery ended after %v", time.Since(began).Round(time.Millisecond))
}

// awaitMachineServes blocks until each kind of request succeeds from a machine. It records a breach
// and returns if a kind has not succeeded by the time until. Plans without a share of requests are
// left out.
func (r *Run) awaitMachineServes(ctx context.Context, machine int, until time.Time) {
	client := r.newClient(machine, fmt.Sprintf("return-%d", machine))
	client.AbandonRate, client.OnExchange = 0, nil
	defer client.CloseConnection()
	for _, p := range r.Fleet.Size.Plans {
		served := p.Share == 0
		for !served && time.Now().Before(until) && ctx.Err() == nil {
			served = client.Send(ctx, p).Ending == fakes.Answered
			sleep(ctx, 50*time.Millisecond)
		}
		if !served && ctx.Err() == nil {
			r.breach(ruleRecover, "", "requests of plan %s from machine %d did not succeed within %v of the last fault", p.Name, machine, recoveryLimit)
			return
		}
	}
}
