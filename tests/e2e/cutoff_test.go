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

// questioner asks one core again and again what an operator may ask, and judges each
// answer by what was acknowledged before the question was put.
type questioner struct {
	f    *fleet.Fleet
	core *fleet.Program
	made *changes

	mu       sync.Mutex
	wrong    []string
	unclear  int
	answered int
	slowest  time.Duration
}

// start begins; stop waits for the end.
func (q *questioner) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, ask := range []func(context.Context){q.read, q.repeat, q.drain} {
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

// ask puts one question, which a second of silence ends.
func (q *questioner) ask(ctx context.Context, method, path string, body []byte, header ...string) (fleet.Reply, bool) {
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	begin := time.Now()
	r, err := q.f.Operate(call, q.core, method, path, body, header...)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil || r.Status/100 == 5 {
		q.unclear++
		if ctx.Err() == nil {
			q.slowest = max(q.slowest, time.Since(begin))
		}
		return r, false
	}
	q.answered++
	if r.Status/100 == 4 {
		q.wrong = append(q.wrong, fmt.Sprintf("%s %s: %d %s", method, path, r.Status, r.Body))
		return r, false
	}
	return r, r.Status == http.StatusOK
}

// old notes an answer that tells of less than was acknowledged before it was asked for.
func (q *questioner) old(path string, got, want uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if got < want {
		q.wrong = append(q.wrong, fmt.Sprintf("%s tells of stamp %d, %d was acknowledged", path, got, want))
	}
}

func (q *questioner) read(ctx context.Context) {
	want := q.made.acked.Load()
	if r, ok := q.ask(ctx, "GET", "/v1/desired", nil); ok {
		q.old("/v1/desired", r.Stamp, want)
	}
}

// repeat sends a change that was acknowledged once more: never refused, and confirmed
// only by a majority.
func (q *questioner) repeat(ctx context.Context) {
	q.ask(ctx, "PUT", "/v1/desired", q.f.Configuration(), "Curlewwalk-Edition", "1")
}

func (q *questioner) drain(ctx context.Context) {
	want := q.made.acked.Load()
	var d struct {
		Stamp uint64 `json:"stamp"`
	}
	if r, ok := q.ask(ctx, "GET", "/v1/localities/west", nil); ok && decode(r.Body, &d) {
		q.old("/v1/localities/west", d.Stamp, want)
	}
}

// told is what went on since it was asked last.
func (q *questioner) told() (wrong []string, unclear, answered int, slowest time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wrong, unclear, answered, slowest = q.wrong, q.unclear, q.answered, q.slowest
	q.wrong, q.unclear, q.answered, q.slowest = nil, 0, 0, 0
	return wrong, unclear, answered, slowest
}

// promised is the epoch that a core has promised.
func promised(ctx context.Context, t *testing.T, p *fleet.Program) uint64 {
	t.Helper()
	var st struct{ Promised uint64 }
	_, err := p.Get(ctx, "/v1/state", &st)
	must(t, err)
	return st.Promised
}

// ownEpochs collects the epochs of its own that a core has been seen to promise. One that
// hears the others promises what they begin, too: how many epochs those need among
// themselves says nothing of the core.
type ownEpochs struct {
	slot, cores int
	seen        map[uint64]bool
}

// see takes what the core has promised now.
func (e *ownEpochs) see(promised uint64) {
	if promised%uint64(e.cores) == uint64(e.slot%e.cores) {
		e.seen[promised] = true
	}
}

// A core is cut off, wholly, hearing nothing, not being heard, from the cores only or
// again and again, on duty and not, while operators go on at the others and ask it too:
// the others take each change, it hands out nothing old and refuses nothing for good,
// and back again it serves at once and disturbs nobody.
func TestCutOffCore(t *testing.T) {
	others := func(f *fleet.Fleet, cut int) (ips []string) {
		for i, p := range f.Cores {
			if i != cut {
				ips = append(ips, p.IP)
			}
		}
		return ips
	}
	type variant struct {
		name  string
		times int
		lasts time.Duration
		cut   func(f *fleet.Fleet, core int)
	}
	for _, v := range []variant{
		{"wholly", 1, 20 * time.Second, func(f *fleet.Fleet, i int) { f.Net.Split(f.Cores[i].IP) }},
		{"from the cores", 1, 8 * time.Second, func(f *fleet.Fleet, i int) { f.Net.Cut([]string{f.Cores[i].IP}, others(f, i)) }},
		{"hearing nothing", 1, 8 * time.Second, func(f *fleet.Fleet, i int) { f.Net.OneWay(others(f, i), []string{f.Cores[i].IP}) }},
		{"not heard", 1, 8 * time.Second, func(f *fleet.Fleet, i int) { f.Net.OneWay([]string{f.Cores[i].IP}, others(f, i)) }},
		{"again and again", 3, 2500 * time.Millisecond, func(f *fleet.Fleet, i int) { f.Net.Split(f.Cores[i].IP) }},
	} {
		t.Run(v.name, func(t *testing.T) {
			for _, core := range []int{0, 2} {
				t.Run(fmt.Sprintf("slot %d", core+1), func(t *testing.T) {
					t.Parallel()
					f, ctx := begin(t, coresOnly(3))
					must(t, f.Relay())
					must(t, f.Start(ctx))
					cut := f.Cores[core]
					made := &changes{f: f, every: 300 * time.Millisecond}
					for i, p := range f.Cores {
						if i != core {
							made.cores = append(made.cores, p)
						}
					}
					stopChanges := made.start(ctx)
					must(t, fleet.Await(ctx, "a change", func(context.Context) bool { return made.count.Load() > 0 }))
					q := &questioner{f: f, core: cut, made: made}
					stopQuestions := q.start(ctx)
					must(t, fleet.Await(ctx, "answers of the core", func(context.Context) bool { q.mu.Lock(); defer q.mu.Unlock(); return q.answered > 3 }))
					for range v.times {
						count := made.count.Load()
						v.cut(f, core)
						began := time.Now()
						// What it began before it misses the others may still end badly.
						must(t, fleet.Await(ctx, "the cut to be known", func(context.Context) bool { return time.Since(began) > 2*time.Second }))
						own := ownEpochs{slot: core + 1, cores: len(f.Cores), seen: map[uint64]bool{}}
						must(t, fleet.Await(ctx, "the cut to last", func(context.Context) bool {
							own.see(promised(ctx, t, cut))
							return time.Since(began) > v.lasts
						}))
						if len(own.seen) > 2 { // the one before the cut was known, and one more
							t.Errorf("cut off it began %d epochs: %v", len(own.seen), own.seen)
						}
						if made.count.Load() < count+2 {
							t.Errorf("%d changes were taken beside the cut", made.count.Load()-count)
						}
						wrong, unclear, _, slowest := q.told()
						t.Logf("cut off: %d answers were none, the slowest after %v", unclear, slowest.Round(time.Millisecond))
						for _, w := range wrong {
							t.Error("cut off: ", w)
						}
						f.Net.Whole()
						whole := time.Now()
						must(t, fleet.Await(ctx, "the core to serve the newest configuration", func(ctx context.Context) bool {
							want := made.acked.Load()
							r, err := f.Operate(ctx, cut, "GET", "/v1/desired", nil)
							return err == nil && r.Status == http.StatusOK && r.Stamp >= want
						}))
						if took := time.Since(whole); took > 4*time.Second {
							t.Errorf("it served only %v after the cut", took)
						} else {
							t.Logf("it served %v after the cut", took.Round(time.Millisecond))
						}
					}
					mended := time.Now()
					made.mu.Lock()
					during := made.longest
					made.longest = 0
					made.mu.Unlock()
					must(t, fleet.Await(ctx, "3 s to pass", func(context.Context) bool { return time.Since(mended) > 3*time.Second }))
					stopQuestions()
					stopChanges()
					after, refused := made.report()
					wrong, _, _, _ := q.told()
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
