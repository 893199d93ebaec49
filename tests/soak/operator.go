package soak

import (
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

// headerGeneration is the header of an operator's own number of a configuration.
const headerGeneration = "Curlewwalk-Edition"

// markersPerConfiguration is how many configurations in a row have one marker route: that of number n
// is in n to n+markersPerConfiguration-1. So the answer to a request on a marker route shows which
// configuration a sidecar has in force.
const markersPerConfiguration = 3

const markerPathPrefix = "/mark/"

// markerPlan is the plan of requests on marker routes: they go to the first service.
func markerPlan(size fleet.Size) fakes.RequestPlan {
	return fakes.RequestPlan{Name: "mark", Method: http.MethodGet, Prefix: markerPathPrefix, Service: size.Backends[0], Idempotent: true, LatencyTarget: time.Second, Deadline: 3 * time.Second, Priority: 1, Work: time.Millisecond}
}

// configuration is a configuration that the operator sent.
type configuration struct {
	number uint64
	body   []byte
	sent   time.Time
	// acknowledged is when it was first acknowledged; zero if it was not.
	acknowledged time.Time
}

// operator records what was sent and acknowledged.
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

// next makes a new configuration, with the next number.
func (o *operator) next(r *Run) *configuration {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := &configuration{number: uint64(len(o.sent) + 1), sent: time.Now()}
	c.body = r.configurationOf(c.number)
	o.sent = append(o.sent, c)
	return c
}

// configurationOf is the fleet's configuration with the marker routes of a number.
func (r *Run) configurationOf(number uint64) []byte {
	var all struct {
		Routes    []map[string]any `json:"ways"`
		Contracts []map[string]any `json:"contracts"`
	}
	if err := json.Unmarshal(r.Fleet.Configuration(), &all); err != nil {
		panic(err)
	}
	marker := markerPlan(r.Fleet.Size)
	routes := all.Routes[:0]
	for _, route := range all.Routes {
		if route["name"] != marker.Name {
			routes = append(routes, route)
		}
	}
	for n := number; n > 0 && n+markersPerConfiguration > number; n-- {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("mark-%d", n), "prefix": fmt.Sprintf("%s%d/", markerPathPrefix, n), "methods": []string{marker.Method},
			"service": marker.Service, "contract": marker.Name, "repeatable": true,
		})
	}
	b, err := json.Marshal(map[string]any{"ways": routes, "contracts": all.Contracts})
	if err != nil {
		panic(err)
	}
	return b
}

// putConfiguration puts a configuration at a replica and returns the status; zero without an answer.
func (r *Run) putConfiguration(ctx context.Context, c *configuration, replica *fleet.Program) (status int) {
	call, cancel := context.WithTimeout(ctx, acknowledgeLimit)
	defer cancel()
	reply, err := r.Fleet.Operate(call, replica, http.MethodPut, "/v1/desired", c.body, headerGeneration, strconv.FormatUint(c.number, 10))
	if err != nil {
		return 0
	}
	if reply.Status == http.StatusOK {
		r.operator.acknowledged(c)
	}
	return reply.Status
}

// acknowledged records an acknowledgement.
func (o *operator) acknowledged(c *configuration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.acknowledged.IsZero() {
		c.acknowledged = time.Now()
	}
}

// newestAcknowledged is the newest configuration that was acknowledged by a moment.
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

// newestSent is the number of the newest configuration that was sent by a moment.
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

// byNumber returns the configuration with a number.
func (o *operator) byNumber(n uint64) (c configuration, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n < 1 || n > uint64(len(o.sent)) {
		return c, false
	}
	return *o.sent[n-1], true
}

// The variants of a series of configurations.
const (
	variantSeries = "series"
	variantRace   = "race"   // two at a time, at two replicas
	variantRepeat = "repeat" // each is sent once more after it was acknowledged, elsewhere
)

// configureVariants are all of them.
var configureVariants = []string{variantSeries, variantRace, variantRepeat}

// configure puts configurations, with a pause between them.
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

// commandTimeout is for how long an operator retries a command that has no final answer.
const commandTimeout = 12 * time.Second

// submitConfiguration puts a configuration, first at one replica and then at the others from second
// on, until there is a final answer. again has it put once more after that.
func (r *Run) submitConfiguration(ctx context.Context, c *configuration, first, second int, again bool) {
	replicas := r.Fleet.Replicas
	for attempt := 0; time.Since(c.sent) < commandTimeout && ctx.Err() == nil; attempt++ {
		replica := replicas[first]
		if attempt > 0 {
			replica = replicas[(second+attempt)%len(replicas)]
		}
		began := time.Now()
		switch status := r.putConfiguration(ctx, c, replica); {
		case status == http.StatusOK:
			if again {
				r.putConfiguration(ctx, c, replicas[second])
			}
			r.judgeAcknowledgement("configuration "+strconv.FormatUint(c.number, 10), c.sent, time.Now())
			return
		case status >= 400 && status < 500:
			r.breach(ruleConfig, "", "configuration %d was refused with %d by %s", c.number, status, replica.Name)
			return
		}
		sleep(ctx, time.Duration(50*(1+attempt))*time.Millisecond-time.Since(began)/10)
	}
	r.judgeAcknowledgement("configuration "+strconv.FormatUint(c.number, 10), c.sent, time.Time{})
}

// judgeAcknowledgement judges how long the acknowledgement of a command took; acked is zero if there
// was none. The limit only binds while the control plane is stable.
func (r *Run) judgeAcknowledgement(what string, sent, acked time.Time) {
	if !acked.IsZero() && acked.Sub(sent) <= acknowledgeLimit {
		return
	}
	if r.faults.controlPlaneStable(sent, sent.Add(acknowledgeLimit)) {
		r.breach(ruleAcknowledge, "", "%s had no acknowledgement within %v, though the control plane was stable", what, acknowledgeLimit)
	}
}
