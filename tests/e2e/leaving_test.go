package e2e

import (
	"context"
	"testing"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// leavers is a fleet of two machines with a backend of a service on each: one that will
// leave, on machine 1, and one that stays.
func leavers(t *testing.T) (f *fleet.Fleet, ctx context.Context, leaver *fakes.Backend) {
	t.Helper()
	size := small()
	size.Machines, size.Backends = 2, nil
	f, ctx = begin(t, size)
	must(t, f.Start(ctx))
	_, err := f.StartBackend(0, "surveys", "stayer", 8000)
	must(t, err)
	leaver, err = f.StartBackend(1, "surveys", "leaver", 8000)
	must(t, err)
	must(t, f.AwaitServing(ctx, f.First, 2))
	return f, ctx, leaver
}

// lateFor is how long after its word of leaving a backend is watched.
const lateFor = 3500 * time.Millisecond

// serveOn sends requests one after the other for a while, at both machines, with the
// leaver's late beats among them.
func serveOn(ctx context.Context, t *testing.T, f *fleet.Fleet, leaver *fakes.Backend) {
	t.Helper()
	survey := f.Size.Plans[2]
	callers := []*fakes.Caller{f.NewCaller(0, 1), f.NewCaller(1, 2)}
	for from := time.Now(); time.Since(from) < lateFor; {
		for _, c := range callers {
			c.Once(ctx, survey)
		}
		must(t, leaver.LateBeat(ctx))
	}
}

// A beat that was sent before a backend said that it leaves, and comes after that word,
// however late, doesn't bring it back: neither after it announced its leaving nor after it
// just said that it has gone.
func TestLateBeat(t *testing.T) {
	t.Parallel()
	words := map[string]func(b *fakes.Backend, ctx context.Context) error{
		"leaving": (*fakes.Backend).Leave,
		"gone":    (*fakes.Backend).Depart,
	}
	for word, say := range words {
		t.Run(word, func(t *testing.T) {
			t.Parallel()
			f, ctx, leaver := leavers(t)
			must(t, say(leaver, ctx))
			serveOn(ctx, t, f, leaver)
			judge(t, f)
		})
	}
}

// Nor does it where the sidecar that took the word was killed meanwhile and has started
// anew.
func TestLateBeatAtRestartedSidecar(t *testing.T) {
	t.Parallel()
	f, ctx, leaver := leavers(t)
	must(t, leaver.Depart(ctx))
	f.Sidecars[1].Kill()
	must(t, f.Sidecars[1].Start())
	must(t, f.Sidecars[1].Ready(ctx))
	serveOn(ctx, t, f, leaver)
	judge(t, f)
}
