package e2e

import (
	"context"
	"testing"
	"time"

	"curlewwalk/tests/fakes"
	"curlewwalk/tests/fleet"
)

// leavingFleet starts a fleet of two machines with one backend of the same service on each. The test
// makes the backend on machine 1 leave; the other stays.
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

// watchAfterLeaving is the time for which requests are sent after a backend left.
const watchAfterLeaving = 3500 * time.Millisecond

// sendDuringLateAnnouncements sends requests in turn to both machines, and repeats old announcements
// of the leaving backend between them.
func sendDuringLateAnnouncements(ctx context.Context, t *testing.T, f *fleet.Fleet, leaving *fakes.Backend) {
	t.Helper()
	survey := f.Size.Plans[2]
	callers := []*fakes.Client{f.NewClient(0, 1), f.NewClient(1, 2)}
	for begin := time.Now(); time.Since(begin) < watchAfterLeaving; {
		for _, c := range callers {
			c.SendOne(ctx, survey)
		}
		must(t, leaving.SendLateAnnouncement(ctx))
	}
}

// TestLateAnnouncement checks that a delayed announcement does not make a departed backend available
// again. The announcement was sent before the backend left, and arrives afterwards. The backend either
// announces that it is leaving or only deregisters.
func TestLateAnnouncement(t *testing.T) {
	t.Parallel()
	variants := map[string]func(b *fakes.Backend, ctx context.Context) error{
		"leaving":      (*fakes.Backend).Leave,
		"deregistered": (*fakes.Backend).Deregister,
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

// TestLateAnnouncementAtRestartedSidecar checks that a late announcement also has no effect when the
// sidecar that knew of the departure has been killed and restarted.
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

// TestDepartureOutlivesMassKill guards against a departure that is forgotten when the sidecar that
// acknowledged it and all replicas, or all processes, are killed at the same moment: a late announcement
// of the backend must not bring it back. If all processes are killed, only the disks have the departure.
func TestDepartureOutlivesMassKill(t *testing.T) {
	t.Parallel()
	departures := map[string]func(b *fakes.Backend, ctx context.Context) error{
		"leaving":      (*fakes.Backend).Leave,
		"deregistered": (*fakes.Backend).Deregister,
	}
	kills := map[string]func(f *fleet.Fleet) []*fleet.Program{
		"its sidecar and the replicas": func(f *fleet.Fleet) []*fleet.Program { return append(f.Sidecars[1:2:2], f.Replicas...) },
		"all processes":                (*fleet.Fleet).Programs,
	}
	for departure, leave := range departures {
		for killed, programs := range kills {
			t.Run(departure+", "+killed, func(t *testing.T) {
				t.Parallel()
				f, ctx, leaving := leavingFleet(t)
				leaving.StopAnnouncing()
				must(t, leave(leaving, ctx))
				f.Kill(programs(f)...)
				must(t, f.Restart(programs(f)...))
				for _, p := range f.Sidecars {
					must(t, p.AwaitReady(ctx))
				}
				sendDuringLateAnnouncements(ctx, t, f, leaving)
				checkLedger(t, f)
			})
		}
	}
}
