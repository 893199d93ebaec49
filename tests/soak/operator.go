package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// The headers of an operator's own number of a configuration.
const headerGeneration = "Curlewwalk-Edition"

// marks is how many configurations in a row have a route: that of number n is in n to
// n+marks-1. So what a sidecar says of a route tells which configuration it goes by.
const marks = 3

const markPrefix = "/mark/"

// markPlan is what backends make of requests on those routes: they go to the first service.
func markPlan(size fleet.Size) fakes.Plan {
	return fakes.Plan{Name: "mark", Method: http.MethodGet, Prefix: markPrefix, Service: size.Backends[0], Repeatable: true, Aim: time.Second, Deadline: 3 * time.Second, Rank: 1, Work: time.Millisecond}
}

// configuration is one that an operator sent.
type configuration struct {
	number uint64
	body   []byte
	sent   time.Time
	// acked is when it was acknowledged first; zero if it has not been.
	acked time.Time
}

// operator keeps what was sent and acknowledged.
type operator struct {
	mu   sync.Mutex
	sent []*configuration // by number, from 1
}

// begin puts the first configuration.
func (o *operator) begin(ctx context.Context, r *Run) error {
	c := o.next(r)
	for ctx.Err() == nil {
		if r.put(ctx, c, r.Fleet.Cores[0]) == http.StatusOK {
			return nil
		}
		wait(ctx, 100*time.Millisecond)
	}
	return ctx.Err()
}

// next is a new configuration.
func (o *operator) next(r *Run) *configuration {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := &configuration{number: uint64(len(o.sent) + 1), sent: time.Now()}
	c.body = r.configurationOf(c.number)
	o.sent = append(o.sent, c)
	return c
}

// configurationOf is the fleet's own one with the routes that tell its number.
func (r *Run) configurationOf(number uint64) []byte {
	var all struct {
		Routes    []map[string]any `json:"ways"`
		Contracts []map[string]any `json:"contracts"`
	}
	if err := json.Unmarshal(r.Fleet.Configuration(), &all); err != nil {
		panic(err)
	}
	mark := markPlan(r.Fleet.Size)
	routes := all.Routes[:0]
	for _, route := range all.Routes {
		if route["name"] != mark.Name {
			routes = append(routes, route)
		}
	}
	for n := number; n > 0 && n+marks > number; n-- {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("mark-%d", n), "prefix": fmt.Sprintf("%s%d/", markPrefix, n), "methods": []string{mark.Method},
			"service": mark.Service, "contract": mark.Name, "repeatable": true,
		})
	}
	b, err := json.Marshal(map[string]any{"ways": routes, "contracts": all.Contracts})
	if err != nil {
		panic(err)
	}
	return b
}

// put puts a configuration to a core, and returns the status; zero if there is no answer.
func (r *Run) put(ctx context.Context, c *configuration, core *fleet.Program) (status int) {
	call, cancel := context.WithTimeout(ctx, ackWithin)
	defer cancel()
	reply, err := r.Fleet.Operate(call, core, http.MethodPut, "/v1/desired", c.body, headerGeneration, strconv.FormatUint(c.number, 10))
	if err != nil {
		return 0
	}
	if reply.Status == http.StatusOK {
		r.operator.acknowledged(c)
	}
	return reply.Status
}

func (o *operator) acknowledged(c *configuration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.acked.IsZero() {
		c.acked = time.Now()
	}
}

// newest is the highest number that was acknowledged by a moment.
func (o *operator) newest(by time.Time) (c configuration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, each := range o.sent {
		if !each.acked.IsZero() && !each.acked.After(by) {
			c = *each
		}
	}
	return c
}

// last is the highest number that was sent by a moment.
func (o *operator) last(by time.Time) (number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, each := range o.sent {
		if !each.sent.After(by) {
			number = each.number
		}
	}
	return number
}

// number finds a configuration.
func (o *operator) number(n uint64) (c configuration, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n < 1 || n > uint64(len(o.sent)) {
		return c, false
	}
	return *o.sent[n-1], true
}

// The ways in which configurations come.
const (
	howSeries = "series"
	howRace   = "race"   // two at a time, at two cores
	howRepeat = "repeat" // each is sent once more after it was acknowledged, elsewhere
)

var configurings = []string{howSeries, howRace, howRepeat}

// configure sends configurations, with a pause between them.
func configure(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	for range max(1, e.Count) {
		var racing sync.WaitGroup
		for range map[bool]int{true: 2, false: 1}[e.How == howRace] {
			first, second := rng.IntN(len(r.Fleet.Cores)), rng.IntN(len(r.Fleet.Cores))
			racing.Go(func() { r.order(ctx, r.operator.next(r), first, second, e.How == howRepeat) })
		}
		racing.Wait()
		wait(ctx, seconds(e.For))
	}
}

// orderFor is how long an operator sends an order again that has no clear answer.
const orderFor = 12 * time.Second

// order sends a configuration, first to one core and then in turn from another on, until
// there is a clear answer.
func (r *Run) order(ctx context.Context, c *configuration, first, second int, again bool) {
	cores := r.Fleet.Cores
	for try := 0; time.Since(c.sent) < orderFor && ctx.Err() == nil; try++ {
		core := cores[first]
		if try > 0 {
			core = cores[(second+try)%len(cores)]
		}
		began := time.Now()
		switch status := r.put(ctx, c, core); {
		case status == http.StatusOK:
			if again {
				r.put(ctx, c, cores[second])
			}
			r.judgeAck("configuration "+strconv.FormatUint(c.number, 10), c.sent, time.Now())
			return
		case status >= 400 && status < 500:
			r.find(ruleConfig, "", "configuration %d was refused with %d by %s", c.number, status, core.Name)
			return
		}
		wait(ctx, time.Duration(50*(1+try))*time.Millisecond-time.Since(began)/10)
	}
	r.judgeAck("configuration "+strconv.FormatUint(c.number, 10), c.sent, time.Time{})
}

// judgeAck holds an order's acknowledgement against the time that there is for it where
// nothing is in trouble: zero if there is none.
func (r *Run) judgeAck(what string, sent, acked time.Time) {
	if !acked.IsZero() && acked.Sub(sent) <= ackWithin {
		return
	}
	if r.troubles.settled(sent, sent.Add(ackWithin)) {
		r.find(ruleDuty, "", "%s had no acknowledgement within %v, the core was settled", what, ackWithin)
	}
}

// evacuate empties a zone and takes it back.
func evacuate(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	zone := r.Fleet.Size.Zones[e.Target%len(r.Fleet.Size.Zones)]
	if !r.zones[zone].TryLock() {
		r.skip(e)
		return
	}
	defer r.zones[zone].Unlock()
	path := "/v1/localities/" + zone + "/emptied"
	if acked, ok := r.orderZone(ctx, e, http.MethodPut, path); ok {
		r.Fleet.Ledger.Emptied(zone, acked)
		wait(ctx, seconds(e.For))
		r.Fleet.Ledger.TakenBack(zone, time.Now())
	}
	for ctx.Err() == nil {
		if _, ok := r.orderZone(ctx, e, http.MethodDelete, path); ok {
			return
		}
	}
}

// orderZone sends an order on a zone until it is acknowledged, or for as long as operators do.
func (r *Run) orderZone(ctx context.Context, e Entry, method, path string) (acked time.Time, ok bool) {
	sent := time.Now()
	for try := e.Target; time.Since(sent) < orderFor && ctx.Err() == nil; try++ {
		call, cancel := context.WithTimeout(ctx, ackWithin)
		reply, err := r.Fleet.Operate(call, r.Fleet.Cores[try%len(r.Fleet.Cores)], method, path, nil)
		cancel()
		if err == nil && reply.Status == http.StatusOK {
			acked = time.Now()
			r.judgeAck(method+" "+path, sent, acked)
			return acked, true
		}
		wait(ctx, 100*time.Millisecond)
	}
	r.judgeAck(method+" "+path, sent, time.Time{})
	return acked, false
}

// readEvery is how often an operator reads the configuration during the run.
const readEvery = 150 * time.Millisecond

// reads reads the configuration all the while, at any core, and holds it against what was
// acknowledged.
func (r *Run) reads(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		core := r.Fleet.Cores[rng.IntN(len(r.Fleet.Cores))]
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, time.Second)
		reply, err := r.Fleet.Operate(call, core, http.MethodGet, "/v1/desired", nil)
		cancel()
		if err == nil && reply.Status == http.StatusOK {
			r.judgeRead(core.Name, reply, r.operator.newest(sent.Add(-apply)))
		}
		wait(ctx, readEvery)
	}
}

// judgeRead holds a configuration that was read against the newest that it must not be
// older than.
func (r *Run) judgeRead(at string, reply fleet.Reply, newest configuration) {
	got, known := r.operator.number(reply.Generation)
	switch {
	case reply.Generation < newest.number:
		r.find(ruleConfig, "", "%s reads configuration %d, %d was acknowledged before", at, reply.Generation, newest.number)
	case !known || !bytes.Equal(reply.Body, got.body):
		r.find(ruleConfig, "", "%s reads other bytes than were sent under %d", at, reply.Generation)
	}
}

// readBack reads the configuration at the end, again and again, at every core.
func (r *Run) readBack(ctx context.Context) {
	newest := r.operator.newest(time.Now())
	for begun := time.Now(); time.Since(begun) < contact && ctx.Err() == nil; wait(ctx, readEvery) {
		for _, core := range r.Fleet.Cores {
			call, cancel := context.WithTimeout(ctx, time.Second)
			reply, err := r.Fleet.Operate(call, core, http.MethodGet, "/v1/desired", nil)
			cancel()
			if err != nil || reply.Status != http.StatusOK {
				r.find(ruleConfig, "", "%s does not read back: %d %v", core.Name, reply.Status, err)
				continue
			}
			r.judgeRead(core.Name, reply, newest)
		}
	}
}
