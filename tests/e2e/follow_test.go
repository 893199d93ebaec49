package e2e

import (
	"context"
	"slices"
	"testing"

	"curlewwalk/tests/fleet"
)

// A core that is cut off from the other cores, but from no sidecar, answers those that
// follow it as ever and hears of nothing new: they leave it for one that is sure, and
// have a word that the others acknowledged in force. (DESIGN 8.2)
func TestFollowedCoreCutOff(t *testing.T) {
	f, ctx := begin(t, small())
	must(t, f.Relay())
	must(t, f.Start(ctx))
	type stats struct {
		Follows struct{ Core string }
	}
	cut := -1
	for _, p := range f.Sidecars {
		var s stats
		if _, err := p.Get(ctx, "/v1/stats", &s); err != nil {
			t.Fatal(err)
		}
		for i := range f.Cores {
			if s.Follows.Core == f.CoreWire(i+1) && cut != i {
				cut = i
			}
		}
	}
	if cut < 0 {
		t.Fatal("nobody follows a core")
	}
	ips := f.CoreIPs()
	f.Net.Cut(ips[cut:cut+1], slices.Delete(slices.Clone(ips), cut, cut+1))
	other := f.Cores[(cut+1)%len(f.Cores)]
	var stamp uint64
	must(t, fleet.Await(ctx, "a write beside the cut", func(ctx context.Context) bool {
		r, err := f.Operate(ctx, other, "PUT", "/v1/desired", f.Configuration())
		stamp = r.Stamp
		return err == nil && r.Status == 200
	}))
	for _, p := range f.Sidecars {
		must(t, fleet.Await(ctx, "the word past the core that is cut off", func(ctx context.Context) bool {
			s, err := f.Stamp(ctx, p)
			return err == nil && s >= stamp
		}))
	}
}
