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

// A core is cut off, wholly, hearing nothing, not being heard, from the cores only or
// again and again, on duty and not, while operators go on at the others and ask it too:
// the others take each change, it hands out nothing old and refuses nothing for good,
// and back again it serves at once and disturbs nobody.
func TestIsolatedReplica(t *testing.T) {
	others := func(f *fleet.Fleet, isolated int) (ips []string) {
		for i, p := range f.Replicas {
			if i != isolated {
				ips = append(ips, p.IP)
			}
		}
		return ips
	}
	type variant struct {
		name  string
		times int
		lasts time.Duration
		cut   func(f *fleet.Fleet, replica int)
	}
	for _, v := range []variant{
		{"wholly", 1, 20 * time.Second, func(f *fleet.Fleet, i int) { f.Network.Partition(f.Replicas[i].IP) }},
		{"from the cores", 1, 8 * time.Second, func(f *fleet.Fleet, i int) { f.Network.PartitionBetween([]string{f.Replicas[i].IP}, others(f, i)) }},
		{"hearing nothing", 1, 8 * time.Second, func(f *fleet.Fleet, i int) { f.Network.BlockOneWay(others(f, i), []string{f.Replicas[i].IP}) }},
		{"not heard", 1, 8 * time.Second, func(f *fleet.Fleet, i int) { f.Network.BlockOneWay([]string{f.Replicas[i].IP}, others(f, i)) }},
		{"again and again", 3, 2500 * time.Millisecond, func(f *fleet.Fleet, i int) { f.Network.Partition(f.Replicas[i].IP) }},
	} {
		t.Run(v.name, func(t *testing.T) {
			for _, replica := range []int{0, 2} {
				t.Run(fmt.Sprintf("slot %d", replica+1), func(t *testing.T) {
					t.Parallel()
					f, ctx := newFleet(t, controlPlaneOnly(3))
					must(t, f.InterposeProxies())
					must(t, f.Start(ctx))
					isolated := f.Replicas[replica]
					writer := &configurationWriter{f: f, interval: 300 * time.Millisecond}
					for i, p := range f.Replicas {
						if i != replica {
							writer.replicas = append(writer.replicas, p)
						}
					}
					stopChanges := writer.start(ctx)
					must(t, fleet.Await(ctx, "a change", func(context.Context) bool { return writer.count.Load() > 0 }))
					probe := &operatorProbe{f: f, replica: isolated, writer: writer}
					stopQuestions := probe.start(ctx)
					must(t, fleet.Await(ctx, "answers of the core", func(context.Context) bool { probe.mu.Lock(); defer probe.mu.Unlock(); return probe.answered > 3 }))
					for range v.times {
						count := writer.count.Load()
						v.cut(f, replica)
						began := time.Now()
						// What it began before it misses the others may still end badly.
						must(t, fleet.Await(ctx, "the cut to be known", func(context.Context) bool { return time.Since(began) > 2*time.Second }))
						own := ownTerms{memberID: replica + 1, replicas: len(f.Replicas), seen: map[uint64]bool{}}
						must(t, fleet.Await(ctx, "the cut to last", func(context.Context) bool {
							own.observe(promisedTerm(ctx, t, isolated))
							return time.Since(began) > v.lasts
						}))
						if len(own.seen) > 2 { // the one before the cut was known, and one more
							t.Errorf("cut off it began %d epochs: %v", len(own.seen), own.seen)
						}
						if writer.count.Load() < count+2 {
							t.Errorf("%d changes were taken beside the cut", writer.count.Load()-count)
						}
						wrong, unclear, _, slowest := probe.takeReport()
						t.Logf("cut off: %d answers were none, the slowest after %v", unclear, slowest.Round(time.Millisecond))
						for _, w := range wrong {
							t.Error("cut off: ", w)
						}
						f.Network.Heal()
						healedAt := time.Now()
						must(t, fleet.Await(ctx, "the core to serve the newest configuration", func(ctx context.Context) bool {
							want := writer.revision.Load()
							r, err := f.Operate(ctx, isolated, "GET", configurationPath, nil)
							return err == nil && r.Status == http.StatusOK && r.Revision >= want
						}))
						if took := time.Since(healedAt); took > 4*time.Second {
							t.Errorf("it served only %v after the cut", took)
						} else {
							t.Logf("it served %v after the cut", took.Round(time.Millisecond))
						}
					}
					settledAt := time.Now()
					writer.mu.Lock()
					during := writer.slowest
					writer.slowest = 0
					writer.mu.Unlock()
					awaitElapsed(ctx, t, settledAt, 3*time.Second)
					stopQuestions()
					stopChanges()
					after, refused := writer.report()
					wrong, _, _, _ := probe.takeReport()
					for _, w := range append(wrong, refused...) {
						t.Error("refused or old: ", w)
					}
					if during > 5*time.Second || after > 2*time.Second {
						t.Errorf("the slowest change took %v, and %v after the cut", during, after)
					}
					t.Logf("the slowest change took %v, and %v after the cut", during.Round(time.Millisecond), after.Round(time.Millisecond))
				})
			}
		})
	}
}
