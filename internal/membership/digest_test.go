package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testProcess is a replica or a sidecar that sends heartbeats to replicas.
type testProcess struct {
	addr     string
	replica  *Replica
	table    ReplicaTable
	encoders map[string]HeartbeatEncoder
}

func (p *testProcess) fullHeartbeat() Heartbeat {
	return Heartbeat{Replica: p.replica, KnownReplicas: p.table.All(), TableDigest: p.table.Digest(p.replica)}
}

// delivery specifies whether a heartbeat and its response arrive.
type delivery int

const (
	heartbeatLost delivery = iota
	responseLost
	delivered
)

// sendHeartbeat sends a heartbeat to another process. It returns the heartbeat and the response,
// even if they do not arrive.
func (p *testProcess) sendHeartbeat(o *testProcess, now time.Time, d delivery) (sent, response Heartbeat) {
	sent = p.encoders[o.addr].Encode(p.fullHeartbeat(), false)
	sent.KnownDigest = p.table.DigestAt(o.addr)
	if d == heartbeatLost {
		return sent, response
	}
	response = o.table.Respond(sent, o.replica, o.table.Digest(o.replica))
	o.table, _ = o.table.ObserveHeartbeat(sent, now)
	if d == responseLost {
		return sent, response
	}
	next, resend := p.encoders[o.addr].Acknowledge(sent, response)
	p.encoders[o.addr] = next
	p.table, _ = p.table.ObserveHeartbeat(response, now)
	if resend {
		p.sendHeartbeat(o, now, delivered)
	}
	return sent, response
}

// heartbeatSimulation simulates a control plane of three replicas, and three sidecars. All of them
// send heartbeats to the replicas.
type heartbeatSimulation struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	start     time.Time
	elapsed   time.Duration
	processes []*testProcess // the replicas first
	accepted  uint64
}

const (
	simulatedReplicas  = 3
	simulatedProcesses = 6
)

func newHeartbeatSimulation(t *testing.T, seed uint64) *heartbeatSimulation {
	t.Helper()
	sim := &heartbeatSimulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 9)), start: time.Now(), accepted: 1}
	for i := range simulatedProcesses {
		p := &testProcess{addr: fmt.Sprint("side-", i)}
		if i < simulatedReplicas {
			p.addr = fmt.Sprint("replica-", i)
			status := Replica{
				MemberID: i + 1, MemberCount: simulatedReplicas, Addr: p.addr, MemberIncarnation: 1, Incarnation: sim.rng.Uint64(),
				Established: true, Members: []int{1, 2, 3}, AcceptedRevision: sim.accepted, CommittedRevision: sim.accepted,
			}.WithDigest()
			p.replica = &status
		}
		p.reset()
		sim.processes = append(sim.processes, p)
	}
	return sim
}

func (sim *heartbeatSimulation) replicas() []*testProcess { return sim.processes[:simulatedReplicas] }

func (sim *heartbeatSimulation) now() time.Time { return sim.start.Add(sim.elapsed) }

// reset clears the state that a restart of the process loses.
func (p *testProcess) reset() {
	p.table, p.encoders = ReplicaTable{}, map[string]HeartbeatEncoder{}
}

// update changes a replica's status.
func (p *testProcess) update(change func(status *Replica)) {
	status := *p.replica
	change(&status)
	status = status.WithDigest()
	p.replica = &status
}

// disturb restarts a random process, gives it a new control state, or does nothing.
func (sim *heartbeatSimulation) disturb() {
	p := sim.processes[sim.rng.IntN(len(sim.processes))]
	switch sim.rng.IntN(6) {
	case 0:
		if p.reset(); p.replica != nil {
			p.update(func(status *Replica) {
				status.Incarnation = sim.rng.Uint64()
				status.MemberIncarnation += sim.rng.Uint64N(2)
			})
		}
	case 1:
		if p.replica != nil { // accept a new control state, possibly with other members
			sim.accepted++
			members := [][]int{{1, 2, 3}, {1, 2, 3, 4}}[sim.rng.IntN(2)]
			p.update(func(status *Replica) {
				status.AcceptedRevision = sim.accepted
				status.Members, status.MemberCount, status.PreviousMembers = members, len(members), []int{1, 2, 3}
			})
		}
	}
}

// commitEverywhere gives all replicas the same committed control state.
func (sim *heartbeatSimulation) commitEverywhere() {
	sim.accepted++
	for _, p := range sim.replicas() {
		p.update(func(status *Replica) {
			status.AcceptedRevision, status.CommittedRevision = sim.accepted, sim.accepted
			status.Members, status.MemberCount, status.PreviousMembers = []int{1, 2, 3}, 3, nil
		})
	}
}

// round sends a heartbeat from each process to each replica and returns all messages. If lossy is
// set, one in four exchanges loses the heartbeat or the response.
func (sim *heartbeatSimulation) round(lossy bool) (messages []Heartbeat) {
	sim.elapsed += HeartbeatInterval
	for _, p := range sim.processes {
		for _, o := range sim.replicas() {
			if p == o {
				continue
			}
			d := delivered
			if lossy {
				d = min(delivered, delivery(sim.rng.IntN(8)))
			}
			if p.replica != nil {
				p.update(func(status *Replica) { status.WallClock = sim.now().UnixNano() })
			}
			sent, response := p.sendHeartbeat(o, sim.now(), d)
			messages = append(messages, sent, response)
		}
	}
	return messages
}

// checkKnown checks that p has the newest status of the replica other.
func (sim *heartbeatSimulation) checkKnown(p, other *testProcess) {
	sim.t.Helper()
	known, ok := p.table.Member(other.replica.MemberID)
	known.WallClock = other.replica.WallClock
	if !ok || cmp.Diff(known, *other.replica) != "" {
		sim.t.Fatalf("seed %d: %s has status %+v, want %+v", sim.seed, p.addr, known, *other.replica)
	}
}

// checkTable checks that all other replicas are live in the process's table. For a replica, it also
// checks the median clock.
func (sim *heartbeatSimulation) checkTable(p *testProcess) {
	sim.t.Helper()
	want := simulatedReplicas
	if p.replica != nil {
		want--
	}
	if live := p.table.Live(sim.now()); len(live) != want {
		sim.t.Fatalf("seed %d: %s has %d live replicas, want all but itself", sim.seed, p.addr, len(live))
	}
	clock := p.table.MedianClock(sim.now(), 9, sim.now())
	if p.replica != nil && clock.Sub(sim.now()).Abs() > time.Millisecond {
		sim.t.Fatalf("seed %d: %s has median clock %v, more than 1 ms off", sim.seed, p.addr, clock)
	}
}

// TestHeartbeatsConverge checks that replicas and sidecars that send partial heartbeats converge
// despite lost messages, restarts and changes of members: all replicas are live, each with its
// newest status. After that, no message contains a status or the known replicas.
func TestHeartbeatsConverge(t *testing.T) {
	for seed := range uint64(40) {
		sim := newHeartbeatSimulation(t, seed)
		for range 60 {
			sim.disturb()
			sim.round(true)
		}
		sim.commitEverywhere()
		for range 3 {
			sim.round(false)
		}
		for i, h := range sim.round(false) {
			if h.Replica != nil || len(h.KnownReplicas) > 0 || h.RequestFull {
				t.Fatalf("seed %d: message %d still carries a status, known replicas or a request for a full heartbeat: %+v", seed, i, h)
			}
		}
		for _, p := range sim.processes {
			for _, o := range sim.replicas() {
				if p != o {
					sim.checkKnown(p, o)
				}
			}
			sim.checkTable(p)
		}
	}
}
