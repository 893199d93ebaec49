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

// markersPerConfiguration is how many configurations in a row have a route: that of number n is in n to
// n+marks-1. So what a sidecar says of a route tells which configuration it goes by.
const markersPerConfiguration = 3

const markerPathPrefix = "/mark/"

// markerPlan is what backends make of requests on those routes: they go to the first service.
func markerPlan(size fleet.Size) fakes.RequestPlan {
	return fakes.RequestPlan{Name: "mark", Method: http.MethodGet, Prefix: markerPathPrefix, Service: size.Backends[0], Idempotent: true, LatencyTarget: time.Second, Deadline: 3 * time.Second, Priority: 1, Work: time.Millisecond}
}

// configuration is one that an operator sent.
type configuration struct {
	number uint64
	body   []byte
	sent   time.Time
	// acknowledged is when it was acknowledged first; zero if it has not been.
	acknowledged time.Time
}

// operator keeps what was sent and acknowledged.
type operator struct {
	mu   sync.Mutex
	sent []*configuration // by number, from 1
}

// putFirst puts the first configuration.
func (o *operator) putFirst(ctx context.Context, r *Run) error {
	c := o.next(r)
	for ctx.Err() == nil {
		if r.putConfiguration(ctx, c, r.Fleet.Replicas[0]) == http.StatusOK {
			return nil
		}
		sleep(ctx, 100*time.Millisecond)
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
	mark := markerPlan(r.Fleet.Size)
	routes := all.Routes[:0]
	for _, route := range all.Routes {
		if route["name"] != mark.Name {
			routes = append(routes, route)
		}
	}
	for n := number; n > 0 && n+markersPerConfiguration > number; n-- {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("mark-%d", n), "prefix": fmt.Sprintf("%s%d/", markerPathPrefix, n), "methods": []string{mark.Method},
			"service": mark.Service, "contract": mark.Name, "repeatable": true,
		})
	}
	b, err := json.Marshal(map[string]any{"ways": routes, "contracts": all.Contracts})
	if err != nil {
		panic(err)
	}
	return b
}

// putConfiguration puts a configuration to a core, and returns the status; zero if there is no answer.
func (r *Run) putConfiguration(ctx context.Context, c *configuration, core *fleet.Program) (status int) {
	call, cancel := context.WithTimeout(ctx, acknowledgeLimit)
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
	if c.acknowledged.IsZero() {
		c.acknowledged = time.Now()
	}
}

// newestAcknowledged is the highest number that was acknowledged by a moment.
func (o *operator) newestAcknowledged(by time.Time) (c configuration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, each := range o.sent {
		if !each.acknowledged.IsZero() && !each.acknowledged.After(by) {
			c = *each
		}
	}
	return c
}

// newestSent is the highest number that was sent by a moment.
func (o *operator) newestSent(by time.Time) (number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, each := range o.sent {
		if !each.sent.After(by) {
			number = each.number
		}
	}
	return number
}

// byNumber finds a configuration.
func (o *operator) byNumber(n uint64) (c configuration, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n < 1 || n > uint64(len(o.sent)) {
		return c, false
	}
	return *o.sent[n-1], true
}

// The ways in which configurations come.
const (
	variantSeries = "series"
	variantRace   = "race"   // two at a time, at two cores
	variantRepeat = "repeat" // each is sent once more after it was acknowledged, elsewhere
)

var configureVariants = []string{variantSeries, variantRace, variantRepeat}

// configure sends configurations, with a pause between them.
func configure(ctx context.Context, r *Run, e Entry, rng *rand.Rand) {
	for range max(1, e.Count) {
		var racing sync.WaitGroup
		for range map[bool]int{true: 2, false: 1}[e.Variant == variantRace] {
			first, second := rng.IntN(len(r.Fleet.Replicas)), rng.IntN(len(r.Fleet.Replicas))
			racing.Go(func() { r.submitConfiguration(ctx, r.operator.next(r), first, second, e.Variant == variantRepeat) })
		}
		racing.Wait()
		sleep(ctx, seconds(e.For))
	}
}

// commandTimeout is how long an operator sends an order again that has no clear answer.
const commandTimeout = 12 * time.Second

// submitConfiguration sends a configuration, first to one core and then in turn from another on, until
// there is a clear answer.
func (r *Run) submitConfiguration(ctx context.Context, c *configuration, first, second int, again bool) {
	cores := r.Fleet.Replicas
	for try := 0; time.Since(c.sent) < commandTimeout && ctx.Err() == nil; try++ {
		core := cores[first]
		if try > 0 {
			core = cores[(second+try)%len(cores)]
		}
		began := time.Now()
		switch status := r.putConfiguration(ctx, c, core); {
		case status == http.StatusOK:
			if again {
				r.putConfiguration(ctx, c, cores[second])
			}
			r.judgeAcknowledgement("configuration "+strconv.FormatUint(c.number, 10), c.sent, time.Now())
			return
		case status >= 400 && status < 500:
			r.breach(ruleConfig, "", "configuration %d was refused with %d by %s", c.number, status, core.Name)
			return
		}
		sleep(ctx, time.Duration(50*(1+try))*time.Millisecond-time.Since(began)/10)
	}
	r.judgeAcknowledgement("configuration "+strconv.FormatUint(c.number, 10), c.sent, time.Time{})
}

// judgeAcknowledgement holds an order's acknowledgement against the time that there is for it where
// nothing is in trouble: zero if there is none.
func (r *Run) judgeAcknowledgement(what string, sent, acked time.Time) {
	if !acked.IsZero() && acked.Sub(sent) <= acknowledgeLimit {
		return
	}
	if r.faults.controlPlaneStable(sent, sent.Add(acknowledgeLimit)) {
		r.breach(ruleAcknowledge, "", "%s had no acknowledgement within %v, the core was settled", what, acknowledgeLimit)
	}
}

// evacuate empties a zone and takes it back.
func evacuate(ctx context.Context, r *Run, e Entry, _ *rand.Rand) {
	zone := r.Fleet.Size.Zones[e.Target%len(r.Fleet.Size.Zones)]
	if !r.zoneLocks[zone].TryLock() {
		r.skip(e)
		return
	}
	defer r.zoneLocks[zone].Unlock()
	path := "/v1/localities/" + zone + "/emptied"
	if acked, ok := r.submitEvacuation(ctx, e, http.MethodPut, path); ok {
		r.Fleet.Ledger.RecordEvacuation(zone, acked)
		sleep(ctx, seconds(e.For))
		r.Fleet.Ledger.RecordRestored(zone, time.Now())
	}
	for ctx.Err() == nil {
		if _, ok := r.submitEvacuation(ctx, e, http.MethodDelete, path); ok {
			return
		}
	}
}

// submitEvacuation sends an order on a zone until it is acknowledged, or for as long as operators do.
func (r *Run) submitEvacuation(ctx context.Context, e Entry, method, path string) (acked time.Time, ok bool) {
	sent := time.Now()
	for try := e.Target; time.Since(sent) < commandTimeout && ctx.Err() == nil; try++ {
		call, cancel := context.WithTimeout(ctx, acknowledgeLimit)
		reply, err := r.Fleet.Operate(call, r.Fleet.Replicas[try%len(r.Fleet.Replicas)], method, path, nil)
		cancel()
		if err == nil && reply.Status == http.StatusOK {
			acked = time.Now()
			r.judgeAcknowledgement(method+" "+path, sent, acked)
			return acked, true
		}
		sleep(ctx, 100*time.Millisecond)
	}
	r.judgeAcknowledgement(method+" "+path, sent, time.Time{})
	return acked, false
}

// readInterval is how often an operator reads the configuration during the run.
const readInterval = 150 * time.Millisecond

// readContinuously reads the configuration all the while, at any core, and holds it against what was
// acknowledged.
func (r *Run) readContinuously(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		core := r.Fleet.Replicas[rng.IntN(len(r.Fleet.Replicas))]
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, time.Second)
		reply, err := r.Fleet.Operate(call, core, http.MethodGet, "/v1/desired", nil)
		cancel()
		if err == nil && reply.Status == http.StatusOK {
			r.judgeRead(core.Name, reply, r.operator.newestAcknowledged(sent.Add(-rolloutLimit)))
		}
		sleep(ctx, readInterval)
	}
}

// judgeRead holds a configuration that was read against the newest that it must not be
// older than.
func (r *Run) judgeRead(at string, reply fleet.Reply, newest configuration) {
	got, known := r.operator.byNumber(reply.Generation)
	switch {
	case reply.Generation < newest.number:
		r.breach(ruleConfig, "", "%s reads configuration %d, %d was acknowledged before", at, reply.Generation, newest.number)
	case !known || !bytes.Equal(reply.Body, got.body):
		r.breach(ruleConfig, "", "%s reads other bytes than were sent under %d", at, reply.Generation)
	}
}

// readBack reads the configuration at the end, again and again, at every core.
func (r *Run) readBack(ctx context.Context) {
	newest := r.operator.newestAcknowledged(time.Now())
	for begun := time.Now(); time.Since(begun) < contactTime && ctx.Err() == nil; sleep(ctx, readInterval) {
		for _, core := range r.Fleet.Replicas {
			call, cancel := context.WithTimeout(ctx, time.Second)
			reply, err := r.Fleet.Operate(call, core, http.MethodGet, "/v1/desired", nil)
			cancel()
			if err != nil || reply.Status != http.StatusOK {
				r.breach(ruleConfig, "", "%s does not read back: %d %v", core.Name, reply.Status, err)
				continue
			}
			r.judgeRead(core.Name, reply, newest)
		}
	}
}
