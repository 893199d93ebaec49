package e2e

import (
	"context"
	"testing"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// leavingFleet is a fleet of two machines with a backend of a service on each: one that will
// leave, on machine 1, and one that stays.
func leavingFleet(t *testing.T) (f *fleet.Fleet, ctx context.Context, leaving *fakes.Backend) {
	t.Helper()
	size := smallFleet()
	size.Machines, size.Backends = 2, nil
	f, ctx = newFleet(t, size)
	must(t, f.Start(ctx))
	_, err := f.StartBackend(0, "surveys", "stayer", 8000)
	must(t, err)
	leaving, err = f.StartBackend(1, "surveys", "leaver", 8000)
	must(t, err)
	must(t, f.AwaitServing(ctx, f.FirstRevision, 2))
	return f, ctx, leaving
}

// watchAfterLeaving is how long after its word of leaving a backend is watched.
const watchAfterLeaving = 3500 * time.Millisecond

// sendDuringLateAnnouncements sends requests one after the other for a while, at both machines, with the
// leaver's late beats among them.
func sendDuringLateAnnouncements(ctx context.Context, t *testing.T, f *fleet.Fleet, leaving *fakes.Backend) {
	t.Helper()
	survey := f.Size.Plans[2]
	callers := []*fakes.Client{f.NewClient(0, 1), f.NewClient(1, 2)}
	for from := time.Now(); time.Since(from) < watchAfterLeaving; {
		for _, c := range callers {
			c.SendOne(ctx, survey)
		}
		must(t, leaving.SendLateAnnouncement(ctx))
	}
}

// A beat that was sent before a backend said that it leaves, and comes after that word,
// however late, doesn't bring it back: neither after it announced its leaving nor after it
// just said that it has gone.
func TestLateAnnouncement(t *testing.T) {
	t.Parallel()
	variants := map[string]func(b *fakes.Backend, ctx context.Context) error{
		"leaving": (*fakes.Backend).Leave,
		"gone":    (*fakes.Backend).Deregister,
	}
	for name, announce := range variants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, ctx, leaver := leavingFleet(t)
			must(t, announce(leaver, ctx))
			sendDuringLateAnnouncements(ctx, t, f, leaver)
			checkLedger(t, f)
		})
	}
}

// Nor does it where the sidecar that took the word was killed meanwhile and has started
// anew.
func TestLateAnnouncementAtRestartedSidecar(t *testing.T) {
	t.Parallel()
	f, ctx, leaver := leavingFleet(t)
	must(t, leaver.Deregister(ctx))
	f.Sidecars[1].Kill()
	must(t, f.Sidecars[1].Start())
	must(t, f.Sidecars[1].AwaitReady(ctx))
	sendDuringLateAnnouncements(ctx, t, f, leaver)
	checkLedger(t, f)
}
