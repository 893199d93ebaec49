package e2e

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/tests/fleet"
)

// largeConfiguration returns a configuration of n routes. Configurations of different numbers differ
// in a connection limit.
func largeConfiguration(n, number int) []byte {
	configuration := config.Configuration{Contracts: []config.Contract{{Name: "c", LatencyTarget: config.Duration{Duration: time.Second}, Deadline: config.Duration{Duration: 2 * time.Second}, Priority: 1}}}
	for i := range n {
		configuration.Services = append(configuration.Services, config.Service{Name: fmt.Sprint("s", i), MaxConnections: number})
		configuration.Routes = append(configuration.Routes, config.Route{
			Name: fmt.Sprint("w", i), Prefix: fmt.Sprint("/", i), Contract: "c",
			Split: []config.WeightedService{{Service: fmt.Sprint("s", i), Weight: 95}, {Service: "s0", Weight: 5}}[:min(2, 1+i)],
		})
	}
	return configuration.Bytes()
}

// generationClient is an operator that numbers its configurations with generations.
type generationClient struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context
}

// put puts a configuration at a replica and returns the answer.
func (c *generationClient) put(replica int, body []byte, header ...string) fleet.Reply {
	c.t.Helper()
	r, err := c.Operate(c.ctx, c.Replicas[replica], "PUT", configurationPath, body, header...)
	must(c.t, err)
	return r
}

// putNumbered puts configuration n under generation n, and checks that it is acknowledged.
func (c *generationClient) putNumbered(replica, n int) fleet.Reply {
	c.t.Helper()
	r := c.put(replica, configuration(n), generationHeader, fmt.Sprint(n))
	if r.Status != 200 || r.Outcome != "taken" {
		c.t.Errorf("generation %d: got %d %s, want 200 taken", n, r.Status, r.Body)
	}
	return r
}

// expectRefused puts another configuration under a used generation, and checks that it is refused.
func (c *generationClient) expectRefused(replica, generation, other int) {
	c.t.Helper()
	if r := c.put(replica, configuration(other), generationHeader, fmt.Sprint(generation)); r.Status != 409 || r.Outcome != "conflict" {
		c.t.Errorf("another configuration under generation %d: got %d %s, want 409 conflict", generation, r.Status, r.Body)
	}
}

// expectRead reads the configuration from a replica, and checks its generation, revision and body.
func (c *generationClient) expectRead(replica int, generation, revision uint64, body []byte) {
	c.t.Helper()
	r, err := c.Operate(c.ctx, c.Replicas[replica], "GET", configurationPath, nil)
	must(c.t, err)
	if r.Generation != generation || r.Revision != revision || !bytes.Equal(r.Body, body) {
		c.t.Errorf("read: got status %d, revision %d, generation %d, %.80s; this is not the expected configuration", r.Status, r.Revision, r.Generation, r.Body)
	}
}

// TestGenerations checks that generations work at any replica. An older generation must change
// nothing, also after all replicas were killed and after a change of the coordinator. A repeat must be
// acknowledged again, and another configuration under a used generation must be refused.
func TestGenerations(t *testing.T) {
	f, ctx := startFleet(t, controlPlaneOnly(3))
	c := &generationClient{Fleet: f, t: t, ctx: ctx}
	c.expectRead(1, 0, c.put(0, configuration(1)).Revision, configuration(1))
	revisionOfSeven := c.putNumbered(2, 7).Revision
	c.putNumbered(1, 7)
	c.putNumbered(0, 6)
	for replica := range f.Replicas {
		c.expectRefused(replica, 7, 8)
	}
	c.expectRead(2, 7, revisionOfSeven, configuration(7))
	for _, invalid := range []string{"0", "-1", "x", "18446744073709551616"} {
		if r := c.put(0, configuration(9), generationHeader, invalid); r.Status != 400 {
			t.Errorf("invalid generation %s: got %d %s, want 400", invalid, r.Status, r.Body)
		}
	}
	if r := c.put(0, configuration(9), generationHeader, "9", "If-Match", `"1"`); r.Status != 412 {
		t.Errorf("write conditional on an old revision: got %d %s, want 412", r.Status, r.Body)
	}

	restartReplicas(ctx, t, f)
	for replica := range f.Replicas {
		c.expectRefused(replica, 7, 8)
	}
	c.putNumbered(1, 7)
	c.expectRead(0, 7, revisionOfSeven, configuration(7))
	c.expectRead(2, 8, c.putNumbered(0, 8).Revision, configuration(8))
	c.expectRefused(1, 7, 8)
	c.putNumbered(2, 7)

	// The answers must not change when the coordinator has been killed.
	f.Replicas[0].Kill()
	for replica := 1; replica <= 2; replica++ {
		must(t, fleet.Await(ctx, "another replica to become coordinator", func(ctx context.Context) bool {
			r, err := f.Operate(ctx, f.Replicas[replica], "PUT", configurationPath, configuration(8), generationHeader, "8")
			return err == nil && r.Status == 200
		}))
		c.expectRefused(replica, 8, 9)
		c.expectRefused(replica, 7, 9)
		c.putNumbered(replica, 7)
	}
}

// TestGenerationStorm checks that many concurrent generations in arbitrary order do not pile up. Each
// must be acknowledged, and the highest must be in force and returned by reads.
func TestGenerationStorm(t *testing.T) {
	f, ctx := startFleet(t, smallFleet())
	const generations = 90 // as many as arrive in 3 s at 30/s
	bodies := make([][]byte, generations+1)
	for n := range bodies {
		bodies[n] = largeConfiguration(300, n)
	}
	begin := time.Now()
	var wg sync.WaitGroup
	for n := 1; n <= generations; n++ {
		wg.Go(func() {
			r, err := f.Operate(ctx, f.Replicas[n%3], "PUT", configurationPath, bodies[n], generationHeader, fmt.Sprint(n))
			if err != nil || r.Status != 200 {
				t.Errorf("generation %d: got %d %s, error %v; want 200", n, r.Status, r.Body, err)
			}
		})
	}
	wg.Wait()
	took := time.Since(begin)
	r, err := f.Operate(ctx, f.Replicas[1], "GET", configurationPath, nil)
	must(t, err)
	if r.Generation != generations || !bytes.Equal(r.Body, bodies[generations]) {
		t.Errorf("read returned generation %d at revision %d, want the highest generation and its configuration", r.Generation, r.Revision)
	}
	for _, p := range f.Sidecars {
		if revision, err := f.Revision(ctx, p); err != nil || revision < r.Revision {
			t.Errorf("%s: got revision %d in force, error %v; want the revision that was read", p.Name, revision, err)
		}
	}
	if took > 3*time.Second {
		t.Errorf("all generations were in force after %v, want at most 3s", took)
	}
	t.Logf("%d generations of 300 routes (%d KiB each) acknowledged and in force in %v, in %d revisions", generations, len(bodies[generations])>>10, took, r.Revision)
}
