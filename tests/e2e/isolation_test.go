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

// operatorProbe sends one replica again and again what an operator may request, and judges each answer
// by what was acknowledged before the request.
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

// start begins; stop ends it and waits for the end.
func (probe *operatorProbe) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, ask := range []func(context.Context){probe.readConfiguration, probe.repeatChange, probe.readDrain} {
		wg.Go(func() {
			tick := time.NewTicker(150 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					ask(ctx)
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// operate sends one request with a time-out of a second; false without a usable answer.
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

// expectRevision records a violation if an answer is older than what was acknowledged before it was
// requested.
func (probe *operatorProbe) expectRevision(path string, got, want uint64) {
	probe.mu.Lock()
	defer probe.mu.Unlock()
	if got < want {
		probe.violations = append(probe.violations, fmt.Sprintf("%s returned revision %d, %d was acknowledged", path, got, want))
	}
}

// readConfiguration reads the configuration.
func (probe *operatorProbe) readConfiguration(ctx context.Context) {
	want := probe.writer.revision.Load()
	if r, ok := probe.operate(ctx, "GET", configurationPath, nil); ok {
		probe.expectRevision(configurationPath, r.Revision, want)
	}
}

// repeatChange repeats a change that was acknowledged: it must never be refused, and is confirmed only by
// a majority.
func (probe *operatorProbe) repeatChange(ctx context.Context) {
	probe.operate(ctx, "PUT", configurationPath, probe.f.Configuration(), generationHeader, "1")
}

// readDrain reads the report on a zone.
func (probe *operatorProbe) readDrain(ctx context.Context) {
	want := probe.writer.revision.Load()
	var d struct {
		Revision uint64 `json:"stamp"`
	}
	if r, ok := probe.operate(ctx, "GET", "/v1/localities/west", nil); ok && decode(r.Body, &d) {
		probe.expectRevision("/v1/localities/west", d.Revision, want)
	}
}

// takeReport returns what happened since the last call.
func (probe *operatorProbe) takeReport() (wrong []string, unclear, answered int, slowest time.Duration) {
	probe.mu.Lock()
	defer probe.mu.Unlock()
	wrong, unclear, answered, slowest = probe.violations, probe.unanswered, probe.answered, probe.slowest
	probe.violations, probe.unanswered, probe.answered, probe.slowest = nil, 0, 0, 0
	return wrong, unclear, answered, slowest
}

// promisedTerm is the term that a replica has promised.
func promisedTerm(ctx context.Context, t *testing.T, p *fleet.Program) uint64 {
	t.Helper()
	st, err := readState(ctx, p)
	must(t, err)
	return st.Promised
}

// ownTerms collects the terms of its own that a replica was seen to promise. A replica that hears the
// others also promises the terms that they begin; how many those need says nothing of this one.
type ownTerms struct {
	memberID, replicas int
	seen               map[uint64]bool
}

// observe takes in what the replica has promised now.
func (o *ownTerms) observe(promised uint64) {
	if promised%uint64(o.replicas) == uint64(o.memberID%o.replicas) {
		o.seen[promised] = true
	}
}

// isolation is a way to isolate one replica from the others.
type isolation struct {
	name  string
	times int
	lasts time.Duration
	begin func(f *fleet.Fleet, replica int)
}

// otherIPs are the machines of all replicas but one.
func otherIPs(f *fleet.Fleet, replica int) (ips []string) {
	for i, p := range f.Replicas {
		if i != replica {
			ips = append(ips, p.IP)
		}
	}
	return ips
}

// Limits of what an isolated replica may do, and of how long changes may take.
const (
	// maxOwnTerms is how many terms it may begin: that from before, and one more.
	maxOwnTerms = 2
	// serveAfterHeal is how soon it must serve the newest configuration afterwards.
	serveAfterHeal = 4 * time.Second
	// maxChangeDuring and maxChangeAfter bound the slowest change at the other replicas.
	maxChangeDuring = 5 * time.Second
	maxChangeAfter  = 2 * time.Second
)

// A replica is isolated in several ways, as coordinator and not, while operators go on at the
// others and send requests to it too: the others accept each change, it returns nothing old and
// refuses nothing for good, and afterwards it serves at once and disturbs nobody.
func TestIsolatedReplica(t *testing.T) {
	for _, way := range []isolation{
		{"from everything", 1, 20 * time.Second, func(f *fleet.Fleet, i int) { f.Network.Partition(f.Replicas[i].IP) }},
		{"from the other replicas", 1, 8 * time.Second, func(f *fleet.Fleet, i int) {
			f.Network.PartitionBetween([]string{f.Replicas[i].IP}, otherIPs(f, i))
		}},
		{"receives nothing", 1, 8 * time.Second, func(f *fleet.Fleet, i int) { f.Network.BlockOneWay(otherIPs(f, i), []string{f.Replicas[i].IP}) }},
		{"sends nothing", 1, 8 * time.Second, func(f *fleet.Fleet, i int) { f.Network.BlockOneWay([]string{f.Replicas[i].IP}, otherIPs(f, i)) }},
		{"again and again", 3, 2500 * time.Millisecond, func(f *fleet.Fleet, i int) { f.Network.Partition(f.Replicas[i].IP) }},
	} {
		t.Run(way.name, func(t *testing.T) {
			for _, replica := range []int{0, 2} {
				t.Run(fmt.Sprintf("member %d", replica+1), func(t *testing.T) {
					t.Parallel()
					testIsolation(t, way, replica)
				})
			}
		})
	}
}

// testIsolation isolates one replica in one way.
func testIsolation(t *testing.T, way isolation, replica int) {
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
	must(t, fleet.Await(ctx, "a change", func(context.Context) bool { return writer.count.Load() > 0 }))
	probe := &operatorProbe{f: f, replica: f.Replicas[replica], writer: writer}
	stopProbe := probe.start(ctx)
	must(t, fleet.Await(ctx, "answers of the replica", func(context.Context) bool {
		probe.mu.Lock()
		defer probe.mu.Unlock()
		return probe.answered > 3
	}))
	for range way.times {
		isolateOnce(ctx, t, way, replica, probe)
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
		t.Error("refused or old: ", violation)
	}
	if during > maxChangeDuring || after > maxChangeAfter {
		t.Errorf("the slowest change took %v, and %v afterwards", during, after)
	}
	t.Logf("the slowest change took %v, and %v afterwards", during.Round(time.Millisecond), after.Round(time.Millisecond))
}

// isolateOnce isolates the replica for as long as the way says, and checks what it did
// meanwhile and how soon it serves afterwards.
func isolateOnce(ctx context.Context, t *testing.T, way isolation, replica int, probe *operatorProbe) {
	t.Helper()
	f, writer, isolated := probe.f, probe.writer, probe.replica
	before := writer.count.Load()
	way.begin(f, replica)
	began := time.Now()
	// What it began before it misses the others may still fail late.
	must(t, fleet.Await(ctx, "the isolation to be noticed", func(context.Context) bool { return time.Since(began) > 2*time.Second }))
	own := ownTerms{memberID: replica + 1, replicas: len(f.Replicas), seen: map[uint64]bool{}}
	must(t, fleet.Await(ctx, "the end of the isolation", func(context.Context) bool {
		own.observe(promisedTerm(ctx, t, isolated))
		return time.Since(began) > way.lasts
	}))
	if len(own.seen) > maxOwnTerms {
		t.Errorf("isolated it began %d terms: %v", len(own.seen), own.seen)
	}
	if writer.count.Load() < before+2 {
		t.Errorf("the other replicas accepted %d changes", writer.count.Load()-before)
	}
	violations, unanswered, _, slowest := probe.takeReport()
	t.Logf("isolated: %d requests were not answered, the slowest after %v", unanswered, slowest.Round(time.Millisecond))
	for _, violation := range violations {
		t.Error("isolated: ", violation)
	}
	f.Network.Heal()
	healed := time.Now()
	must(t, fleet.Await(ctx, "the replica to serve the newest configuration", func(ctx context.Context) bool {
		want := writer.revision.Load()
		r, err := f.Operate(ctx, isolated, "GET", configurationPath, nil)
		return err == nil && r.Status == http.StatusOK && r.Revision >= want
	}))
	took := time.Since(healed)
	t.Logf("it served %v after the isolation", took.Round(time.Millisecond))
	if took > serveAfterHeal {
		t.Errorf("it served only %v after the isolation", took)
	}
}
