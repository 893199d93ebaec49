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

// A watcher that polls now and then, through changes of the replica, lost responses, frozen
// replicas and more events than are kept, always ends with what the replica has that it asked
// last, and its revision never falls.
func TestWatchConverges(t *testing.T) {
	snapshots, resumed := 0, 0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		now := time.Duration(0)
		logs := []*EventLog{NewEventLog(1, 0), NewEventLog(100, 0)}
		var req Request
		at := 0
		nodes, revision := map[string]membership.Node{}, uint64(0)
		poll := func() {
			if !logs[at].Ready(now) {
				return
			}
			updates, _ := logs[at].Since(req)
			if rng.IntN(5) == 0 {
				return // the response is lost: the offset stays
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
			want = append(want, logs[at].Nodes()...)
			if len(want) != len(nodes) {
				t.Fatalf("seed %d: the watcher has %d nodes, the replica %d", seed, len(nodes), len(want))
			}
			for _, w := range want {
				if d := cmp.Diff(w, nodes[w.Addr]); d != "" {
					t.Fatalf("seed %d: %s", seed, d)
				}
			}
			if state := logs[at].State(); state != nil && revision < state.Revision {
				t.Fatalf("seed %d: the watcher is at revision %d, the replica at %d", seed, revision, state.Revision)
			}
		}
		var newest uint64
		for step := range 4000 {
			now += time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
			if rng.IntN(800) == 0 {
				now += 3 * time.Second // all are frozen
			}
			for _, log := range logs {
				log.DetectPause(now)
				log.Tick(now)
			}
			for range rng.IntN(6) {
				n := membership.Node{Addr: fmt.Sprint("node-", rng.IntN(8)), Incarnation: 1 + rng.Uint64N(2), Version: uint64(step)}
				logs[rng.IntN(2)].ObserveNode(n, now)
			}
			if rng.IntN(30) == 0 {
				newest++
				state := config.ControlState{Revision: newest - rng.Uint64N(min(newest, 3))}
				logs[rng.IntN(2)].ObserveCommitted(state)
			}
			switch rng.IntN(40) {
			case 0:
				at, req = 1-at, Request{}
			case 1, 2, 3:
				poll()
			}
		}
	}
	if snapshots == 0 || resumed == 0 {
		t.Errorf("%d snapshots, %d resumed", snapshots, resumed)
	}
}

// Of the control states since a watcher's last request it gets only the newest, and without what
// sidecars do not need; the others are not kept.
func TestNewestStateOnly(t *testing.T) {
	log, mirror := NewEventLog(1, 0), NewMirror()
	log.ObserveCommitted(config.ControlState{Revision: 1})
	updates, _ := log.Since(Request{})
	req := Request{LogID: updates.LogID, Offset: updates.Offset}
	if state, _ := mirror.Apply(updates); state == nil || state.Revision != 1 {
		t.Errorf("%+v", state)
	}
	for s := range uint64(50) {
		log.ObserveCommitted(config.ControlState{Revision: s + 2, Configuration: []byte("{}"), Submitted: []byte("sent")})
		log.ObserveNode(membership.Node{Addr: fmt.Sprint("node-", s)}, 0)
	}
	updates, fresh := log.Since(req)
	states := 0
	for _, event := range updates.Events {
		if event.State != nil {
			states++
		}
	}
	state, _ := mirror.Apply(updates)
	if !fresh || states != 1 || len(updates.Events) != 51 || len(mirror.Nodes) != 50 || state == nil || state.Revision != 51 || state.Submitted != nil {
		t.Errorf("%d control states in %d events, %d nodes, %+v", states, len(updates.Events), len(mirror.Nodes), state)
	}
	kept := 0
	for _, event := range log.events {
		if event.State != nil {
			kept++
		}
	}
	if kept != 1 {
		t.Errorf("%d control states are kept", kept)
	}
	if updates, fresh = log.Since(Request{LogID: updates.LogID, Offset: updates.Offset}); fresh {
		t.Errorf("events again: %+v", updates)
	}
}

// A replica that was frozen delivers nothing from before; nor does one that has just started.
func TestEventLogAfterPause(t *testing.T) {
	log := NewEventLog(1, 0)
	if log.Ready(StartupDelay - 1) {
		t.Error("ready before the nodes could send heartbeats")
	}
	log.Tick(StartupDelay)
	log.ObserveNode(membership.Node{Addr: "a"}, StartupDelay)
	log.DetectPause(StartupDelay + 100*time.Millisecond)
	if !log.Ready(StartupDelay+100*time.Millisecond) || len(log.Nodes()) != 1 {
		t.Error("an ordinary interval was taken for a pause")
	}
	resumed := StartupDelay + 10*time.Second
	log.DetectPause(resumed)
	if log.Ready(resumed) || len(log.Nodes()) != 0 || log.ID == 1 {
		t.Errorf("after a pause: ready %v, %d nodes, log %d", log.Ready(resumed), len(log.Nodes()), log.ID)
	}
	if updates, _ := log.Since(Request{LogID: 1, Offset: 1}); !updates.Snapshot {
		t.Error("an offset from before the pause was continued")
	}
}

// A zone that is drained as soon as it is evacuated is so since then.
func TestDrainSince(t *testing.T) {
	log := NewEventLog(1, 0)
	log.Tick(5 * time.Second)
	log.ObserveCommitted(config.ControlState{Revision: 1, EvacuatedByOperator: []string{"west"}})
	if d := log.DrainStatus("west", 5*time.Second); !d.Done || d.DoneFor != "0s" {
		t.Errorf("at once: %+v", d)
	}
	log.Tick(6 * time.Second)
	if d := log.DrainStatus("west", 8*time.Second); d.DoneFor != "2s" {
		t.Errorf("2 s after the tick: %+v", d)
	}
}
