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

// headerGeneration is the header that carries the operator's number of a configuration.
const headerGeneration = "Curlewwalk-Edition"

// markersPerConfiguration is the number of consecutive configurations that contain a marker route.
// The marker route of number n is in the configurations n to n+markersPerConfiguration-1. The
// answer to a request on a marker route therefore shows which configurations a sidecar may have in
// force.
const markersPerConfiguration = 3

const markerPathPrefix = "/mark/"

// markerPlan returns the plan of requests on marker routes, which go to the first service.
func markerPlan(size fleet.Size) fakes.RequestPlan {
	return fakes.RequestPlan{Name: "mark", Method: http.MethodGet, Prefix: markerPathPrefix, Service: size.Backends[0], Idempotent: true, LatencyTarget: time.Second, Deadline: 3 * time.Second, Priority: 1, Work: time.Millisecond}
}

// configuration is a configuration that the operator has sent.
type configuration struct {
	number uint64
	body   []byte
	sent   time.Time
	// acknowledged is the time of the first acknowledgement. It is zero if there was none.
	acknowledged time.Time
}

// operator records the configurations that were sent and acknowledged. It is safe for concurrent
// use.
type operator struct {
	mu   sync.Mutex
	sent []*configuration // by number, from 1
}

// putFirst puts the first configuration at the first replica, and retries until the configuration
// is acknowledged or ctx is done.
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

// next returns a new configuration with the next number and records it as sent.
func (o *operator) next(r *Run) *configuration {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := &configuration{number: uint64(len(o.sent) + 1), sent: time.Now()}
	c.body = r.configurationOf(c.number)
	o.sent = append(o.sent, c)
	return c
}

// configurationOf returns the fleet's configuration with the marker routes of configuration number.
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

// putConfiguration puts a configuration at a replica. It returns the status of the answer, or zero
// if there was none.
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

// acknowledged records the first acknowledgement of a configuration.
func (o *operator) acknowledged(c *configuration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.acknowledged.IsZero() {
		c.acknowledged = time.Now()
	}
}

// newestAcknowledged returns the newest configuration that was acknowledged at or before the time
// by. It returns the zero value if there was none.
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

// newestSent returns the number of the newest configuration that was sent at or before the time by.
// It returns zero if there was none.
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

// byNumber returns the configuration with the number n and whether there is one.
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
	variantSeries = "series" // one after the other
	variantRace   = "race"   // two at a time, at replicas drawn at random
	variantRepeat = "repeat" // each is sent once more after its acknowledgement, at a replica drawn at random
)

// configureVariants lists all variants of a series of configurations.
var configureVariants = []string{variantSeries, variantRace, variantRepeat}

// configure puts Count configurations, or pairs of racing ones, with a pause after each.
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

// commandTimeout is how long an operator retries a command that has no final answer.
const commandTimeout = 12 * time.Second

// submitConfiguration puts a configuration until there is a final answer or commandTimeout is over.
// It tries the replica with the index first, and then the replicas in turn that follow the index
// second. If repeat is set, it puts the configuration once more at the replica with the index
// second after the acknowledgement. A refusal is a breach.
func (r *Run) submitConfiguration(ctx context.Context, c *configuration, first, second int, repeat bool) {
	replicas := r.Fleet.Replicas
	for attempt := 0; time.Since(c.sent) < commandTimeout && ctx.Err() == nil; attempt++ {
		replica := replicas[first]
		if attempt > 0 {
			replica = replicas[(second+attempt)%len(replicas)]
		}
		began := time.Now()
		switch status := r.putConfiguration(ctx, c, replica); {
		case status == http.StatusOK:
			if repeat {
				r.putConfiguration(ctx, c, replicas[second])
			}
			r.judgeAcknowledgement("configuration "+strconv.FormatUint(c.number, 10), c.sent, time.Now())
			return
		case status >= 400 && status < 500:
			r.breach(ruleConfig, "", "configuration %d was refused with status %d by %s, want 200", c.number, status, replica.Name)
			return
		}
		sleep(ctx, time.Duration(50*(1+attempt))*time.Millisecond-time.Since(began)/10)
	}
	r.judgeAcknowledgement("configuration "+strconv.FormatUint(c.number, 10), c.sent, time.Time{})
}

// judgeAcknowledgement records a breach if the acknowledgement of a command took over
// acknowledgeLimit while the control plane was stable. acked is zero if there was no
// acknowledgement.
func (r *Run) judgeAcknowledgement(command string, sent, acked time.Time) {
	if !acked.IsZero() && acked.Sub(sent) <= acknowledgeLimit {
		return
	}
	if r.faults.controlPlaneStable(sent, sent.Add(acknowledgeLimit)) {
		r.breach(ruleAcknowledge, "", "%s was not acknowledged within %v, though the control plane was stable", command, acknowledgeLimit)
	}
}
