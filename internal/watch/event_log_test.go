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

// watchSimulation simulates a watcher and the two replicas between which it switches.
type watchSimulation struct {
	t    *testing.T
	seed uint64
	rng  *rand.Rand
	now  time.Duration
	logs []*EventLog
	// newest is the newest revision that was committed.
	newest uint64

	// The watcher's state: the index of its replica, its next request, and the data received.
	current  int
	req      Request
	nodes    map[string]membership.Node
	revision uint64

	snapshots, resumed int
}

// step advances the clock by a random time, with heartbeats and commits, and sometimes with a poll
// or a switch to the other replica.
func (sim *watchSimulation) step(number int) {
	sim.now += time.Duration(sim.rng.Int64N(int64(20 * time.Millisecond)))
	if sim.rng.IntN(800) == 0 {
		sim.now += 3 * time.Second // all processes are suspended
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

// poll sends the watcher's request. If the response arrives, poll checks the watcher's data.
func (sim *watchSimulation) poll() {
	log := sim.logs[sim.current]
	if !log.Ready(sim.now) {
		return
	}
	updates, _ := log.Since(sim.req)
	if sim.rng.IntN(5) == 0 {
		return // the response is lost: the offset does not change
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

// check compares the watcher's data with the replica's.
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

// TestWatchConverges checks that after each response a watcher has the same data as the replica
// that sent it, and that its revision never decreases. The watcher polls irregularly, switches
// replicas, loses responses, and falls behind by more events than a log keeps; replicas are
// suspended.
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
		t.Errorf("got %d snapshots and %d resumed watches, want both above 0", snapshots, resumed)
	}
}

// TestNewestStateOnly checks that a watcher receives only the newest of the control states
// committed since its last request, without the fields that sidecars do not need, and that the log
// does not keep the others.
func TestNewestStateOnly(t *testing.T) {
	log, mirror := NewEventLog(1, 0), NewMirror()
	log.ObserveCommitted(config.ControlState{Revision: 1})
	updates, _ := log.Since(Request{})
	req := Request{LogID: updates.LogID, Offset: updates.Offset}
	if state, _ := mirror.Apply(updates); state == nil || state.Revision != 1 {
		t.Errorf("got control state %+v, want revision 1", state)
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
		t.Errorf("got %d control states in %d events, %d nodes and control state %+v; want 1 in 51, 50 nodes, and revision 51 without Submitted", states, len(updates.Events), len(mirror.Nodes), state)
	}
	kept := 0
	for _, event := range log.events {
		if event.State != nil {
			kept++
		}
	}
	if kept != 1 {
		t.Errorf("%d control states are kept, want 1", kept)
	}
	if updates, fresh = log.Since(Request{LogID: updates.LogID, Offset: updates.Offset}); fresh {
		t.Errorf("got updates %+v, want nothing new", updates)
	}
}

// TestEventLogAfterPause checks that a replica that was suspended delivers nothing from before the
// pause, and that a replica that has just started delivers nothing either.
func TestEventLogAfterPause(t *testing.T) {
	log := NewEventLog(1, 0)
	if log.Ready(StartupDelay - 1) {
		t.Error("ready before the nodes could send heartbeats")
	}
	log.Tick(StartupDelay)
	log.ObserveNode(membership.Node{Addr: "a"}, StartupDelay)
	log.DetectPause(StartupDelay + 100*time.Millisecond)
	if !log.Ready(StartupDelay+100*time.Millisecond) || len(log.Nodes()) != 1 {
		t.Error("an ordinary interval was treated as a pause")
	}
	resumed := StartupDelay + 10*time.Second
	log.DetectPause(resumed)
	if log.Ready(resumed) || len(log.Nodes()) != 0 || log.ID == 1 {
		t.Errorf("after a pause: got ready %v, %d nodes, log ID %d; want false, 0 nodes, another log ID", log.Ready(resumed), len(log.Nodes()), log.ID)
	}
	if updates, _ := log.Since(Request{LogID: 1, Offset: 1}); !updates.Snapshot {
		t.Error("got no snapshot for an offset from before the pause")
	}
}

// TestDrainSince checks that a zone that is drained when it is evacuated counts as drained from
// that time.
func TestDrainSince(t *testing.T) {
	log := NewEventLog(1, 0)
	log.Tick(5 * time.Second)
	log.ObserveCommitted(config.ControlState{Revision: 1, EvacuatedByOperator: []string{"west"}})
	if d := log.DrainStatus("west", 5*time.Second); !d.Done || d.DoneFor != "0s" {
		t.Errorf("at the evacuation: got %+v, want done for 0s", d)
	}
	log.Tick(6 * time.Second)
	if d := log.DrainStatus("west", 8*time.Second); d.DoneFor != "2s" {
		t.Errorf("2 s after the tick: got %+v, want done for 2s", d)
	}
}
