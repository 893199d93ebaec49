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
func TestWatchConverges(t *testing.T) {
	snapshots, resumed := 0, 0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		now := time.Duration(0)
		cores := []*EventLog{NewEventLog(1, 0), NewEventLog(100, 0)}
		var req Request
		at := 0
		nodes, revision := map[string]membership.Node{}, uint64(0)
		follow := func() {
			if !cores[at].Ready(now) {
				return
			}
			updates, _ := cores[at].Since(req)
			if rng.IntN(5) == 0 {
				return // the answer is lost: the place stays
			}
			req = Request{LogID: updates.LogID, Offset: updates.Offset}
			if updates.Snapshot {
				clear(nodes)
				snapshots++
			} else if len(updates.Events) > 0 {
				resumed++
			}
			for _, event := range updates.Events {
				switch {
				case event.State != nil:
					revision = max(revision, event.State.Revision)
				case event.Node != nil:
					nodes[event.Node.Addr] = *event.Node
				default:
					delete(nodes, event.RemovedNode)
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
			if w := cores[at].State(); w != nil && revision < w.Revision {
				t.Fatalf("seed %d: follower is at stamp %d, core at %d", seed, revision, w.Revision)
			}
		}
		var told uint64
		for step := range 4000 {
			now += time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
			if rng.IntN(800) == 0 {
				now += 3 * time.Second // a freeze of all
			}
			for _, log := range cores {
				log.DetectPause(now)
				log.Tick(now)
			}
			for range rng.IntN(6) {
				n := membership.Node{Addr: fmt.Sprint("node-", rng.IntN(8)), Incarnation: 1 + rng.Uint64N(2), Version: uint64(step)}
				cores[rng.IntN(2)].ObserveNode(n, now)
			}
			if rng.IntN(30) == 0 {
				told++
				state := config.ControlState{Revision: told - rng.Uint64N(min(told, 3))}
				cores[rng.IntN(2)].ObserveCommitted(state)
			}
			switch rng.IntN(40) {
			case 0:
				at, req = 1-at, Request{}
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
func TestNewestStateOnly(t *testing.T) {
	log, mirror := NewEventLog(1, 0), NewMirror()
	log.ObserveCommitted(config.ControlState{Revision: 1})
	updates, _ := log.Since(Request{})
	req := Request{LogID: updates.LogID, Offset: updates.Offset}
	if w, _ := mirror.Apply(updates); w == nil || w.Revision != 1 {
		t.Errorf("%+v", w)
	}
	for s := range uint64(50) {
		log.ObserveCommitted(config.ControlState{Revision: s + 2, Configuration: []byte("{}"), Submitted: []byte("sent")})
		log.ObserveNode(membership.Node{Addr: fmt.Sprint("node-", s)}, 0)
	}
	updates, fresh := log.Since(req)
	words := 0
	for _, event := range updates.Events {
		if event.State != nil {
			words++
		}
	}
	w, _ := mirror.Apply(updates)
	if !fresh || words != 1 || len(updates.Events) != 51 || len(mirror.Nodes) != 50 || w == nil || w.Revision != 51 || w.Submitted != nil {
		t.Errorf("%d words of %d items, %d nodes, %+v", words, len(updates.Events), len(mirror.Nodes), w)
	}
	kept := 0
	for _, event := range log.events {
		if event.State != nil {
			kept++
		}
	}
	if kept != 1 {
		t.Errorf("%d words are kept", kept)
	}
	if updates, fresh = log.Since(Request{LogID: updates.LogID, Offset: updates.Offset}); fresh {
		t.Errorf("news again: %+v", updates)
	}
}

// A core that slept answers nothing from before; nor does one just started.
func TestEventLogAfterPause(t *testing.T) {
	log := NewEventLog(1, 0)
	if log.Ready(StartupDelay - 1) {
		t.Error("open before it could be told of the nodes")
	}
	log.Tick(StartupDelay)
	log.ObserveNode(membership.Node{Addr: "a"}, StartupDelay)
	log.DetectPause(StartupDelay + 100*time.Millisecond)
	if !log.Ready(StartupDelay+100*time.Millisecond) || len(log.Nodes()) != 1 {
		t.Error("an ordinary beat was taken for a freeze")
	}
	woken := StartupDelay + 10*time.Second
	log.DetectPause(woken)
	if log.Ready(woken) || len(log.Nodes()) != 0 || log.ID == 1 {
		t.Errorf("after a freeze: open %v, %d nodes, feed %d", log.Ready(woken), len(log.Nodes()), log.ID)
	}
	if updates, _ := log.Since(Request{LogID: 1, Offset: 1}); !updates.Snapshot {
		t.Error("a place in the feed before the freeze was resumed")
	}
}

// A zone that is empty as soon as it is asked to be is so since then.
func TestDrainSince(t *testing.T) {
	log := NewEventLog(1, 0)
	log.Tick(5 * time.Second)
	log.ObserveCommitted(config.ControlState{Revision: 1, EvacuatedByOperator: []string{"west"}})
	if d := log.DrainStatus("west", 5*time.Second); !d.Done || d.DoneFor != "0s" {
		t.Errorf("at once: %+v", d)
	}
	log.Tick(6 * time.Second)
	if d := log.DrainStatus("west", 8*time.Second); d.DoneFor != "2s" {
		t.Errorf("2 s after it was seen: %+v", d)
	}
}
