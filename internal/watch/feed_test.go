package watch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// A follower that asks now and then, across two cores, lost answers, freezes
// and more changes than are kept, always ends with what the core has that it
// asked last, and its stamp never goes down.
func TestFollowing(t *testing.T) {
	snapshots, resumed := 0, 0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		now := time.Duration(0)
		cores := []*Feed{New(1, 0), New(100, 0)}
		var place Follow
		at := 0
		nodes, stamp := map[string]membership.Node{}, uint64(0)
		follow := func() {
			if !cores[at].Open(now) {
				return
			}
			n, _ := cores[at].Since(place)
			if rng.IntN(5) == 0 {
				return // the answer is lost: the place stays
			}
			place = Follow{Feed: n.Feed, Place: n.Place}
			if n.Snapshot {
				clear(nodes)
				snapshots++
			} else if len(n.Items) > 0 {
				resumed++
			}
			for _, it := range n.Items {
				switch {
				case it.Word != nil:
					stamp = max(stamp, it.Word.Stamp)
				case it.Node != nil:
					nodes[it.Node.Addr] = *it.Node
				default:
					delete(nodes, it.Gone)
				}
			}
			var want []membership.Node
			want = append(want, cores[at].Nodes()...)
			if len(want) != len(nodes) {
				t.Fatalf("seed %d: follower has %d nodes, core %d", seed, len(nodes), len(want))
			}
			for _, w := range want {
				if d := cmp.Diff(w, nodes[w.Addr]); d != "" {
					t.Fatalf("seed %d: %s", seed, d)
				}
			}
			if w := cores[at].Word(); w != nil && stamp < w.Stamp {
				t.Fatalf("seed %d: follower is at stamp %d, core at %d", seed, stamp, w.Stamp)
			}
		}
		var told uint64
		for step := range 4000 {
			now += time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
			if rng.IntN(800) == 0 {
				now += 3 * time.Second // a freeze of all
			}
			for _, f := range cores {
				f.Wake(now)
				f.Tick(now)
			}
			for range rng.IntN(6) {
				n := membership.Node{Addr: fmt.Sprint("node-", rng.IntN(8)), Boot: 1 + rng.Uint64N(2), Rev: uint64(step)}
				cores[rng.IntN(2)].Told(n, now)
			}
			if rng.IntN(30) == 0 {
				told++
				w := config.Word{Stamp: told - rng.Uint64N(min(told, 3))}
				cores[rng.IntN(2)].Settled(w)
			}
			switch rng.IntN(40) {
			case 0:
				at, place = 1-at, Follow{}
			case 1, 2, 3:
				follow()
			}
		}
	}
	if snapshots == 0 || resumed == 0 {
		t.Errorf("%d snapshots, %d resumed", snapshots, resumed)
	}
}

// Of words that came since a follower asked last, it is told the newest only, and
// without what sidecars do not need; the others are not kept.
func TestNewestWordOnly(t *testing.T) {
	f, c := New(1, 0), NewCopy()
	f.Settled(config.Word{Stamp: 1})
	n, _ := f.Since(Follow{})
	place := Follow{Feed: n.Feed, Place: n.Place}
	if w, _ := c.Take(n); w == nil || w.Stamp != 1 {
		t.Errorf("%+v", w)
	}
	for s := range uint64(50) {
		f.Settled(config.Word{Stamp: s + 2, Desired: []byte("{}"), Sent: []byte("sent")})
		f.Told(membership.Node{Addr: fmt.Sprint("node-", s)}, 0)
	}
	n, fresh := f.Since(place)
	words := 0
	for _, it := range n.Items {
		if it.Word != nil {
			words++
		}
	}
	w, _ := c.Take(n)
	if !fresh || words != 1 || len(n.Items) != 51 || len(c.Nodes) != 50 || w == nil || w.Stamp != 51 || w.Sent != nil {
		t.Errorf("%d words of %d items, %d nodes, %+v", words, len(n.Items), len(c.Nodes), w)
	}
	kept := 0
	for _, it := range f.items {
		if it.Word != nil {
			kept++
		}
	}
	if kept != 1 {
		t.Errorf("%d words are kept", kept)
	}
	if n, fresh = f.Since(Follow{Feed: n.Feed, Place: n.Place}); fresh {
		t.Errorf("news again: %+v", n)
	}
}

// A core that slept answers nothing from before; nor does one just started.
func TestWokenFeed(t *testing.T) {
	f := New(1, 0)
	if f.Open(SettleIn - 1) {
		t.Error("open before it could be told of the nodes")
	}
	f.Tick(SettleIn)
	f.Told(membership.Node{Addr: "a"}, SettleIn)
	f.Wake(SettleIn + 100*time.Millisecond)
	if !f.Open(SettleIn+100*time.Millisecond) || len(f.Nodes()) != 1 {
		t.Error("an ordinary beat was taken for a freeze")
	}
	woken := SettleIn + 10*time.Second
	f.Wake(woken)
	if f.Open(woken) || len(f.Nodes()) != 0 || f.ID == 1 {
		t.Errorf("after a freeze: open %v, %d nodes, feed %d", f.Open(woken), len(f.Nodes()), f.ID)
	}
	if n, _ := f.Since(Follow{Feed: 1, Place: 1}); !n.Snapshot {
		t.Error("a place in the feed before the freeze was resumed")
	}
}

// A zone that is empty as soon as it is asked to be is so since then.
func TestDrainSince(t *testing.T) {
	f := New(1, 0)
	f.Tick(5 * time.Second)
	f.Settled(config.Word{Stamp: 1, Emptied: []string{"west"}})
	if d := f.Drain("west", 5*time.Second); !d.Done || d.For != "0s" {
		t.Errorf("at once: %+v", d)
	}
	f.Tick(6 * time.Second)
	if d := f.Drain("west", 8*time.Second); d.For != "2s" {
		t.Errorf("2 s after it was seen: %+v", d)
	}
}
