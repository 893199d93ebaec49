package e2e

import (
	"context"
	"testing"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// leavingFleet is a fleet of two machines with a backend of one service on each: one that will leave, on
// machine 1, and one that stays.
func leavingFleet(t *testing.T) (f *fleet.Fleet, ctx context.Context, leaving *fakes.Backend) {
	t.Helper()
	size := smallFleet()
	size.Machines, size.Backends = 2, nil
	f, ctx = newFleet(t, size)
	must(t, f.Start(ctx))
	_, err := f.StartBackend(0, "surveys", "staying", 8000)
	must(t, err)
	leaving, err = f.StartBackend(1, "surveys", "leaving", 8000)
	must(t, err)
	must(t, f.AwaitServing(ctx, f.FirstRevision, 2))
	return f, ctx, leaving
}

// watchAfterLeaving is for how long a backend is watched after it left.
const watchAfterLeaving = 3500 * time.Millisecond

// sendDuringLateAnnouncements sends requests one after the other at both machines, with late announcements
// of the leaving backend among them.
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

// An announcement from before a backend left that arrives after it, however late, does not bring the
// backend back: neither after it announced that it is leaving nor after it only deregistered.
func TestLateAnnouncement(t *testing.T) {
	t.Parallel()
	variants := map[string]func(b *fakes.Backend, ctx context.Context) error{
		"leaving": (*fakes.Backend).Leave,
		"gone":    (*fakes.Backend).Deregister,
	}
	for name, announce := range variants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, ctx, leaving := leavingFleet(t)
			must(t, announce(leaving, ctx))
			sendDuringLateAnnouncements(ctx, t, f, leaving)
			checkLedger(t, f)
		})
	}
}

// Nor does it if the sidecar that knew of the departure was killed meanwhile and has restarted.
func TestLateAnnouncementAtRestartedSidecar(t *testing.T) {
	t.Parallel()
	f, ctx, leaving := leavingFleet(t)
	must(t, leaving.Deregister(ctx))
	f.Sidecars[1].Kill()
	must(t, f.Sidecars[1].Start())
	must(t, f.Sidecars[1].AwaitReady(ctx))
	sendDuringLateAnnouncements(ctx, t, f, leaving)
	checkLedger(t, f)
}
