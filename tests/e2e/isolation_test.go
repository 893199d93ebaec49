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

// operatorProbe asks one core again and again what an operator may ask, and judges each
// answer by what was acknowledged before the question was put.
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

// start begins; stop waits for the end.
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

// operate puts one question, which a second of silence ends.
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

// expectRevision notes an answer that tells of less than was acknowledged before it was asked for.
func (probe *operatorProbe) expectRevision(path string, got, want uint64) {
	probe.mu.Lock()
	defer probe.mu.Unlock()
	if got < want {
		probe.violations = append(probe.violations, fmt.Sprintf("%s tells of stamp %d, %d was acknowledged", path, got, want))
	}
}

func (probe *operatorProbe) readConfiguration(ctx context.Context) {
	want := probe.writer.revision.Load()
	if r, ok := probe.operate(ctx, "GET", "/v1/desired", nil); ok {
		probe.expectRevision("/v1/desired", r.Revision, want)
	}
}

// repeatChange sends a change that was acknowledged once more: never refused, and confirmed
// only by a majority.
func (probe *operatorProbe) repeatChange(ctx context.Context) {
	probe.operate(ctx, "PUT", "/v1/desired", probe.f.Configuration(), "Curlewwalk-Edition", "1")
}

func (probe *operatorProbe) readDrain(ctx context.Context) {
	want := probe.writer.revision.Load()
	var d struct {
		Stamp uint64 `json:"stamp"`
	}
	if r, ok := probe.operate(ctx, "GET", "/v1/localities/west", nil); ok && decode(r.Body, &d) {
		probe.expectRevision("/v1/localities/west", d.Stamp, want)
	}
}

// takeReport is what went on since it was asked last.
func (probe *operatorProbe) takeReport() (wrong []string, unclear, answered int, slowest time.Duration) {
	probe.mu.Lock()
	defer probe.mu.Unlock()
	wrong, unclear, answered, slowest = probe.violations, probe.unanswered, probe.answered, probe.slowest
	probe.violations, probe.unanswered, probe.answered, probe.slowest = nil, 0, 0, 0
	return wrong, unclear, answered, slowest
}

// promisedTerm is the epoch that a core has promised.
func promisedTerm(ctx context.Context, t *testing.T, p *fleet.Program) uint64 {
	t.Helper()
	var st struct{ Promised uint64 }
	_, err := p.Get(ctx, "/v1/state", &st)
	must(t, err)
	return st.Promised
}

// ownTerms collects the epochs of its own that a core has been seen to promise. One that
// hears the others promises what they begin, too: how many epochs those need among
// themselves says nothing of the core.
type ownTerms struct {
	memberID, replicas int
	seen               map[uint64]bool
}

// observe takes what the core has promised now.
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
							r, err := f.Operate(ctx, isolated, "GET", "/v1/desired", nil)
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
					must(t, fleet.Await(ctx, "3 s to pass", func(context.Context) bool { return time.Since(settledAt) > 3*time.Second }))
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
