package proof

import (
	"context"
	"sync"
	"syscall"
	"testing"
)

// Every process is restarted in turn under load, with reloads and changes of
// configuration between: what was handed over is answered, and nothing is
// answered by a guess.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	f, ctx := start(t, small())
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { f.Load(load, f.Callers()...) })
	for i, p := range f.Programs() {
		if code := p.Stop(); code != 0 {
			t.Errorf("%s ended with %d: %s", p.Name, code, p.Said())
		}
		must(t, p.Start())
		must(t, p.Ready(ctx))
		for _, q := range f.Programs() {
			q.Signal(syscall.SIGHUP)
		}
		stamp, err := f.Put(ctx, i%3, f.Configuration())
		must(t, err)
		must(t, f.AwaitServing(ctx, stamp, len(f.Size.Backends)))
	}
	stop()
	wg.Wait()
	if v := judge(t, f); v.Cut > 0 || v.Unknown > 0 {
		t.Errorf("%d were dropped and %d answered as unknown", v.Cut, v.Unknown)
	}
}
