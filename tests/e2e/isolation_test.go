package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"curlewwalk/tests/fleet"
)

// operatorProbe repeatedly sends operator requests to one replica. It checks each answer against what
// was acknowledged before the request.
type operatorProbe struct {
	f       *fleet.Fleet
	replica *fleet.Program
	writer  *configurationWriter

	mu         sync.Mutex
	violations []string
	unanswered int
	answered   int
	slowest    time.Duration
}

// start starts the requests. stop stops them and waits until they have ended.
func (probe *operatorProbe) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, request := range []func(context.Context){probe.readConfiguration, probe.repeatChange, probe.readDrain} {
		wg.Go(func() {
			tick := time.NewTicker(150 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					request(ctx)
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// operate sends one request with a time-out of 1 s, and reports whether the status is 200. It records
// a 4xx status as a violation, because all requests of the probe are valid.
func (probe *operatorProbe) operate(ctx context.Context, method, path string, body []byte, header ...string) (fleet.Reply, bool) {
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	begin := time.Now()
	r, err := probe.f.Operate(call, probe.replica, method, path, body, header...)
	probe.mu.Lock()
	defer probe.mu.Unlock()
	if err != nil || r.Status/100 == 5 {
		probe.unanswered++
		if ctx.Err() == nil {
			probe.slowest = max(probe.slowest, time.Since(begin))
		}
		return r, false
	}
	probe.answered++
	if r.Status/100 == 4 {
		probe.violations = append(probe.violations, fmt.Sprintf("%s %s: %d %s", method, path, r.Status, r.Body))
		return r, false
	}
	return r, r.Status == http.StatusOK
}

// expectRevision records a violation if an answer has an older revision than one that was acknowledged
// before the request.
func (probe *operatorProbe) expectRevision(path string, got, want uint64) {
	probe.mu.Lock()
	defer probe.mu.Unlock()
	if got < want {
		probe.violations = append(probe.violations, fmt.Sprintf("%s returned revision %d, want at least the acknowledged revision %d", path, got, want))
	}
}

// readConfiguration reads the configuration and checks its revision.
func (probe *operatorProbe) readConfiguration(ctx context.Context) {
	want := probe.writer.revision.Load()
	if r, ok := probe.operate(ctx, "GET", configurationPath, nil); ok {
		probe.expectRevision(configurationPath, r.Revision, want)
	}
}

// repeatChange repeats an acknowledged change. The replica must never refuse it, and may confirm it
// only with a majority.
func (probe *operatorProbe) repeatChange(ctx context.Context) {
	probe.operate(ctx, "PUT", configurationPath, probe.f.Configuration(), generationHeader, "1")
}

// readDrain reads the drain report of a zone and checks its revision.
func (probe *operatorProbe) readDrain(ctx context.Context) {
	want := probe.writer.revision.Load()
	var report struct {
		Revision uint64 `json:"stamp"`
	}
	if r, ok := probe.operate(ctx, "GET", "/v1/localities/west", nil); ok && decode(r.Body, &report) {
		probe.expectRevision("/v1/localities/west", report.Revision, want)
	}
}

// takeReport returns the violations, the numbers of failed and of answered requests, and the slowest
// failure since the last call, and resets them.
func (probe *operatorProbe) takeReport() (found []string, failed, answered int, slowest time.Duration) {
	probe.mu.Lock()
	defer probe.mu.Unlock()
	found, failed, answered, slowest = probe.violations, probe.unanswered, probe.answered, probe.slowest
	probe.violations, probe.unanswered, probe.answered, probe.slowest = nil, 0, 0, 0
	return found, failed, answered, slowest
}

// promisedTerm returns the term that a replica has promised.
func promisedTerm(ctx context.Context, t *testing.T, p *fleet.Program) uint64 {
	t.Helper()
	st, err := readState(ctx, p)
	must(t, err)
	return st.Promised
}

// ownTerms collects the terms that a replica began itself and that it was seen to promise. A replica
// that receives messages of the others also promises terms that they begin. Those do not count,
// because their number depends on the other replicas only.
type ownTerms struct {
	memberID, replicas int
	seen               map[uint64]bool
}

// observe adds a promised term if the replica began it.
func (o *ownTerms) observe(promised uint64) {
	if promised%uint64(o.replicas) == uint64(o.memberID%o.replicas) {
		o.seen[promised] = true
	}
}

// isolation is a way to isolate one replica from the others, repeated a number of rounds.
type isolation struct {
	name     string
	rounds   int
	duration time.Duration
	begin    func(f *fleet.Fleet, replica int)
}

// otherIPs returns the addresses of all replicas but one.
func otherIPs(f *fleet.Fleet, replica int) (ips []string) {
	for i, p := range f.Replicas {
		if i != replica {
			ips = append(ips, p.IP)
		}
	}
	return ips
}

// Limits on what an isolated replica may do, and on the duration of changes.
const (
	// maxOwnTerms is the number of terms that an isolated replica may begin: the one from before the
	// isolation, and one more.
	maxOwnTerms = 2
	// serveAfterHeal is the time after the isolation within which the replica must serve the newest
	// configuration.
	serveAfterHeal = 4 * time.Second
	// maxChangeDuring and maxChangeAfter limit the slowest change at the other replicas, during and
	// after the isolation.
	maxChangeDuring = 5 * time.Second
	maxChangeAfter  = 2 * time.Second
)

// TestIsolatedReplica checks that an isolated replica does no harm. The replica is isolated in several
// ways, as coordinator and not, while operators send requests to it and to the others. The other
// replicas must accept each change. The isolated replica must not return outdated state, refuse a
// valid request with a 4xx status, or begin many terms. Afterwards it must soon serve the newest
// configuration, and must not slow down changes.
func TestIsolatedReplica(t *testing.T) {
	for _, scenario := range []isolation{
		{"from everything", 1, 20 * time.Second, func(f *fleet.Fleet, i int) { f.Network.Partition(f.Replicas[i].IP) }},
		{"from the other replicas", 1, 8 * time.Second, func(f *fleet.Fleet, i int) {
			f.Network.PartitionBetween([]string{f.Replicas[i].IP}, otherIPs(f, i))
		}},
		{"receives nothing", 1, 8 * time.Second, func(f *fleet.Fleet, i int) { f.Network.BlockOneWay(otherIPs(f, i), []string{f.Replicas[i].IP}) }},
		{"sends nothing", 1, 8 * time.Second, func(f *fleet.Fleet, i int) { f.Network.BlockOneWay([]string{f.Replicas[i].IP}, otherIPs(f, i)) }},
		{"repeatedly", 3, 2500 * time.Millisecond, func(f *fleet.Fleet, i int) { f.Network.Partition(f.Replicas[i].IP) }},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			for _, replica := range []int{0, 2} {
				t.Run(fmt.Sprintf("member %d", replica+1), func(t *testing.T) {
					t.Parallel()
					testIsolation(t, scenario, replica)
				})
			}
		})
	}
}

// testIsolation runs one isolation of one replica under load from operators, and checks the answers
// and the duration of changes.
func testIsolation(t *testing.T, scenario isolation, replica int) {
	t.Helper()
	f, ctx := newFleet(t, controlPlaneOnly(3))
	must(t, f.InterposeProxies())
	must(t, f.Start(ctx))
	writer := &configurationWriter{f: f, interval: 300 * time.Millisecond}
	for i, p := range f.Replicas {
		if i != replica {
			writer.replicas = append(writer.replicas, p)
		}
	}
	stopWriter := writer.start(ctx)
	must(t, fleet.Await(ctx, "a configuration change to be acknowledged", func(context.Context) bool { return writer.count.Load() > 0 }))
	probe := &operatorProbe{f: f, replica: f.Replicas[replica], writer: writer}
	stopProbe := probe.start(ctx)
	must(t, fleet.Await(ctx, "the replica to answer operators", func(context.Context) bool {
		probe.mu.Lock()
		defer probe.mu.Unlock()
		return probe.answered > 3
	}))
	for range scenario.rounds {
		isolateOnce(ctx, t, scenario, replica, probe)
	}
	healed := time.Now()
	writer.mu.Lock()
	during := writer.slowest
	writer.slowest = 0
	writer.mu.Unlock()
	awaitElapsed(ctx, t, healed, 3*time.Second)
	stopProbe()
	stopWriter()
	after, refused := writer.report()
	violations, _, _, _ := probe.takeReport()
	for _, violation := range append(violations, refused...) {
		t.Error("refused change or outdated answer: ", violation)
	}
	if during > maxChangeDuring || after > maxChangeAfter {
		t.Errorf("the slowest change took %v during and %v after the isolation, want at most 5s and 2s", during, after)
	}
	t.Logf("the slowest change took %v during and %v after the isolation", during.Round(time.Millisecond), after.Round(time.Millisecond))
}

// isolateOnce runs one round of an isolation. It checks what the replica does meanwhile, and how soon
// it serves the newest configuration afterwards.
func isolateOnce(ctx context.Context, t *testing.T, scenario isolation, replica int, probe *operatorProbe) {
	t.Helper()
	f, writer, isolated := probe.f, probe.writer, probe.replica
	before := writer.count.Load()
	scenario.begin(f, replica)
	isolatedAt := time.Now()
	// A request that started before the replica noticed the isolation may still fail late.
	must(t, fleet.Await(ctx, "the replica to notice the isolation", func(context.Context) bool { return time.Since(isolatedAt) > 2*time.Second }))
	own := ownTerms{memberID: replica + 1, replicas: len(f.Replicas), seen: map[uint64]bool{}}
	must(t, fleet.Await(ctx, "the end of the isolation", func(context.Context) bool {
		own.observe(promisedTerm(ctx, t, isolated))
		return time.Since(isolatedAt) > scenario.duration
	}))
	if len(own.seen) > maxOwnTerms {
		t.Errorf("the isolated replica began %d terms, %v; want at most 2", len(own.seen), own.seen)
	}
	if writer.count.Load() < before+2 {
		t.Errorf("the other replicas accepted %d changes during the isolation, want at least 2", writer.count.Load()-before)
	}
	violations, unanswered, _, slowest := probe.takeReport()
	t.Logf("isolated replica: %d requests failed, the slowest after %v", unanswered, slowest.Round(time.Millisecond))
	for _, violation := range violations {
		t.Error("isolated replica: ", violation)
	}
	f.Network.Heal()
	healed := time.Now()
	must(t, fleet.Await(ctx, "the replica to serve the newest configuration", func(ctx context.Context) bool {
		want := writer.revision.Load()
		r, err := f.Operate(ctx, isolated, "GET", configurationPath, nil)
		return err == nil && r.Status == http.StatusOK && r.Revision >= want
	}))
	took := time.Since(healed)
	t.Logf("the replica served the newest configuration %v after the isolation", took.Round(time.Millisecond))
	if took > serveAfterHeal {
		t.Errorf("the replica served the newest configuration %v after the isolation, want at most 4s", took)
	}
}
