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

// requests keeps how requests went for their clients.
type requests struct {
	mu  sync.Mutex
	all []fakes.Exchange
}

func (q *requests) saw(x fakes.Exchange) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.all = append(q.all, x)
}

// clients starts the clients of all machines, those that ask on routes that tell the
// configuration in force, and the operator that reads all the while.
func (r *Run) clients(ctx context.Context, all *sync.WaitGroup) {
	for machine := range r.Fleet.Sidecars {
		for n := range r.Plan.Clients {
			s := r.series(machine, fmt.Sprintf("client-%d-%d", machine, n))
			all.Go(func() { s.Run(ctx) })
		}
		s := r.series(machine, fmt.Sprintf("marks-%d", machine))
		s.Leaves = 0
		all.Go(func() { r.askMarks(ctx, s) })
	}
	all.Go(func() { r.reads(ctx, rand.New(rand.NewPCG(r.Plan.Seed, 3))) })
}

// clientPause is the longest pause of a client between two requests.
const clientPause = 60 * time.Millisecond

func (r *Run) series(machine int, name string) *fakes.Series {
	f := r.Fleet
	return &fakes.Series{
		Name: name, Zone: f.Zone(machine), Addr: f.Requests(machine), Plans: f.Size.Plans, Leaves: r.Plan.Leaves, Pause: clientPause,
		Ledger: f.Ledger, Saw: r.requests.saw, Rand: rand.New(rand.NewPCG(r.Plan.Seed, uint64(len(name))<<32+uint64(machine)<<8+uint64(name[len(name)-1]))),
	}
}

// reportPlan is of requests that may be repeated and take long: what is done for clients that
// leave them, and what is open at the end of a stop, shows with them.
func reportPlan(size fleet.Size) fakes.Plan {
	return fakes.Plan{
		Name: "report", Method: http.MethodGet, Prefix: "/report/", Service: size.Backends[1], Repeatable: true,
		Aim: 1200 * time.Millisecond, Deadline: 8 * time.Second, Rank: 4, Share: 0.06, Work: 1200 * time.Millisecond,
	}
}

// markEvery is how often each sidecar is asked for a route that tells its configuration.
const markEvery = 250 * time.Millisecond

// askMarks sends requests on routes of the newest configurations, and of some before.
func (r *Run) askMarks(ctx context.Context, s *fakes.Series) {
	mark := markPlan(r.Fleet.Size)
	for ; ctx.Err() == nil; wait(ctx, markEvery) {
		newest := r.operator.last(time.Now())
		number := max(1, int(newest)-s.Rand.IntN(marks+2))
		p := mark
		p.Prefix = fmt.Sprintf("%s%d/", markPrefix, number)
		p.Name = markName(number)
		s.Ask(ctx, p)
	}
}

const markPlanPrefix = "mark-"

func markName(number int) string { return markPlanPrefix + strconv.Itoa(number) }

// markNumber is the number of the configuration whose route a request was for; false if it
// was for none of those.
func markNumber(plan string) (number uint64, ok bool) {
	text, found := strings.CutPrefix(plan, markPlanPrefix)
	number, err := strconv.ParseUint(text, 10, 64)
	return number, found && err == nil
}

// awaitService waits until each kind of request succeeds from every machine, as it is to
// within the time that service may take to return.
func (r *Run) awaitService(ctx context.Context) {
	begun := time.Now()
	var all sync.WaitGroup
	for machine := range r.Fleet.Sidecars {
		all.Go(func() { r.awaitServed(ctx, machine, begun.Add(recovery)) })
	}
	all.Wait()
	r.say("service is back after %v", time.Since(begun).Round(time.Millisecond))
}

func (r *Run) awaitServed(ctx context.Context, machine int, until time.Time) {
	s := r.series(machine, fmt.Sprintf("return-%d", machine))
	s.Leaves, s.Saw = 0, nil
	defer s.HangUp()
	for _, p := range r.Fleet.Size.Plans {
		served := p.Share == 0
		for !served && time.Now().Before(until) && ctx.Err() == nil {
			served = s.Ask(ctx, p).End == fakes.EndAnswered
			wait(ctx, 50*time.Millisecond)
		}
		if !served && ctx.Err() == nil {
			r.find(ruleRecover, "", "%s is not served from machine %d %v after the last trouble", p.Name, machine, recovery)
			return
		}
	}
}
