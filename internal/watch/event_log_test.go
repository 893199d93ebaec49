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

// watchSimulation is a watcher and the two replicas that it polls in turn.
type watchSimulation struct {
	t    *testing.T
	seed uint64
	rng  *rand.Rand
	now  time.Duration
	logs []*EventLog
	// newest is the newest revision that was committed.
	newest uint64

	// The watcher's state: which replica it asks, its next request, and what it has.
	current  int
	req      Request
	nodes    map[string]membership.Node
	revision uint64

	snapshots, resumed int
}

// step lets some time pass, with heartbeats and commits, and perhaps a poll or a change of the
// replica.
func (sim *watchSimulation) step(number int) {
	sim.now += time.Duration(sim.rng.Int64N(int64(20 * time.Millisecond)))
	if sim.rng.IntN(800) == 0 {
		sim.now += 3 * time.Second // all are frozen
	}
	for _, log := range sim.logs {
		log.DetectPause(sim.now)
		log.Tick(sim.now)
	}
	for range sim.rng.IntN(6) {
		n := membership.Node{Addr: fmt.Sprint("node-", sim.rng.IntN(8)), Incarnation: 1 + sim.rng.Uint64N(2), Version: uint64(number)}
		sim.logs[sim.rng.IntN(2)].ObserveNode(n, sim.now)
	}
	if sim.rng.IntN(30) == 0 {
		sim.newest++
		state := config.ControlState{Revision: sim.newest - sim.rng.Uint64N(min(sim.newest, 3))}
		sim.logs[sim.rng.IntN(2)].ObserveCommitted(state)
	}
	switch sim.rng.IntN(40) {
	case 0:
		sim.current, sim.req = 1-sim.current, Request{}
	case 1, 2, 3:
		sim.poll()
	}
}

// poll sends the watcher's request, and checks what it has if the response arrives.
func (sim *watchSimulation) poll() {
	log := sim.logs[sim.current]
	if !log.Ready(sim.now) {
		return
	}
	updates, _ := log.Since(sim.req)
	if sim.rng.IntN(5) == 0 {
		return // the response is lost: the offset stays
	}
	sim.req = Request{LogID: updates.LogID, Offset: updates.Offset}
	sim.apply(updates)
	sim.check(log)
}

func (sim *watchSimulation) apply(updates Updates) {
	if updates.Snapshot {
		clear(sim.nodes)
		sim.snapshots++
	} else if len(updates.Events) > 0 {
		sim.resumed++
	}
	for _, event := range updates.Events {
		switch {
		case event.State != nil:
			sim.revision = max(sim.revision, event.State.Revision)
		case event.Node != nil:
			sim.nodes[event.Node.Addr] = *event.Node
		default:
			delete(sim.nodes, event.RemovedNode)
		}
	}
}

// check compares what the watcher has with what the replica has.
func (sim *watchSimulation) check(log *EventLog) {
	sim.t.Helper()
	want := log.Nodes()
	if len(want) != len(sim.nodes) {
		sim.t.Fatalf("seed %d: the watcher has %d nodes, the replica %d", sim.seed, len(sim.nodes), len(want))
	}
	for _, n := range want {
		if d := cmp.Diff(n, sim.nodes[n.Addr]); d != "" {
			sim.t.Fatalf("seed %d: %s", sim.seed, d)
		}
	}
	if state := log.State(); state != nil && sim.revision < state.Revision {
		sim.t.Fatalf("seed %d: the watcher is at revision %d, the replica at %d", sim.seed, sim.revision, state.Revision)
	}
}

// A watcher that polls now and then, through changes of the replica, lost responses, frozen
// replicas and more events than are kept, always ends with what the replica has that it asked
// last, and its revision never falls.
func TestWatchConverges(t *testing.T) {
	snapshots, resumed := 0, 0
	for seed := range uint64(40) {
		sim := &watchSimulation{
			t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 2)),
			logs: []*EventLog{NewEventLog(1, 0), NewEventLog(100, 0)}, nodes: map[string]membership.Node{},
		}
		for number := range 4000 {
			sim.step(number)
		}
		snapshots, resumed = snapshots+sim.snapshots, resumed+sim.resumed
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
