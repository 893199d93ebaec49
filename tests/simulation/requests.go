package simulation

import (
	"fmt"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
)

// Requests simulates requests through sidecars that reserve and replicate idempotency keys,
// route, send and refuse attempts. Messages are lost, delayed and duplicated, and sidecars are
// killed and paused. The routing decision, the attempt log, the reservations and the
// replication of keys are production code. The simulation only delivers messages between them.
type Requests struct {
	randomClock
	base  time.Time // wall-clock time at the start
	nodes []*requestNode
	view  *membership.View
	table *routing.Table
	until time.Duration // time at which clients stop sending

	serial int
	// runs counts the runs of each request. promisedNotRun holds the client attempts whose
	// answer said that the request had not run.
	runs           map[string]int
	promisedNotRun map[string]bool
	// Violations describes each violation of an invariant. The counts show that the
	// simulation processed requests and injected faults.
	Violations                                           []string
	Sent, Ran, Answered, NotRun, Unknown, Kills, Retries int
}

// requestNode is a sidecar, with a local backend if its Node lists one.
type requestNode struct {
	membership.Node
	// incarnation counts the kills of the process. Node.Incarnation is the random number that
	// the production code compares.
	incarnation int
	up          bool
	pausedUntil time.Duration
	// ready reports whether the reservations of earlier incarnations have been recovered.
	ready        bool
	nextRecord   uint64
	attempts     int
	reservations *idempotency.Table[clientAnswer]
	attemptLog   *proxy.AttemptLog
	replicaStore *keyreplication.ReplicaStore
	replication  *keyreplication.ReplicationTracker
}

// clientAnswer is the answer that a client receives.
type clientAnswer struct {
	Outcome routing.Outcome
	Text    string
}

// Limits of a simulation.
const (
	// requestDeadline is the time limit of a request.
	requestDeadline = 2 * time.Second
	// requestDrain is how long the simulation continues after clients have stopped sending.
	requestDrain = 30 * time.Second
	// maxClientAttempts is the maximum number of times that a client sends a request.
	maxClientAttempts = 8
)

// NewRequests returns a simulation with the given number of sidecars. The last two have local
// backends.
func NewRequests(seed uint64, nodes int) *Requests {
	sim := &Requests{randomClock: newRandomClock(seed, 19), base: time.Now(), runs: map[string]int{}, promisedNotRun: map[string]bool{}}
	sim.table, _ = routing.NewTable(config.ControlState{})
	for i := range nodes {
		n := &requestNode{Node: membership.Node{Addr: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)}}
		if i >= nodes-2 {
			n.Backends = []membership.Backend{{Instance: fmt.Sprintf("s-%d", i), Service: "s", Zone: n.Zone, Capacity: 4, CapacityShare: 1}}
		}
		sim.nodes = append(sim.nodes, n)
		sim.start(n)
		n.ready = true
	}
	sim.refreshView()
	return sim
}

// Run lets clients send requests for d of simulated time, and then continues for requestDrain so
// that all requests are answered.
func (sim *Requests) Run(d time.Duration) {
	sim.until = d
	sim.repeat(40*time.Millisecond, sim.until, sim.sendRequest)
	sim.repeat(900*time.Millisecond, sim.until, sim.injectFault)
	for _, n := range sim.nodes {
		sim.repeat(250*time.Millisecond, sim.until, func() { sim.whenRunning(n, func() { sim.repairReplicas(n) }) })
	}
	sim.run(d + requestDrain)
}

// start starts a node without any state of an earlier start.
func (sim *Requests) start(n *requestNode) {
	n.up, n.ready = true, false
	n.Incarnation = sim.rng.Uint64()
	n.reservations = idempotency.NewTable(func(clientAnswer) int { return 1 })
	n.attemptLog, n.replicaStore = proxy.NewAttemptLog(), keyreplication.NewReplicaStore()
	n.replication = keyreplication.NewReplicationTracker(n.Addr, n.Zone)
}

// refreshView sets the view of all nodes to the nodes that are up.
func (sim *Requests) refreshView() {
	nodes := map[string]membership.Node{}
	for _, n := range sim.nodes {
		if n.up {
			nodes[n.Addr] = n.Node
		}
	}
	sim.view = membership.NewView(nodes, nil)
}

// node returns the node at an address, which must exist.
func (sim *Requests) node(addr string) *requestNode {
	for _, n := range sim.nodes {
		if n.Addr == addr {
			return n
		}
	}
	panic("no such node")
}

// injectFault kills or pauses a random node. Keys survive only one kill at a time, so no fault is
// injected until all reservations have been recovered and each key is fully replicated again.
func (sim *Requests) injectFault() {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	for _, peer := range sim.nodes {
		if !peer.up || !peer.ready {
			return
		}
	}
	if !sim.fullyReplicated() {
		return
	}
	if sim.rng.IntN(3) == 0 {
		n.pausedUntil = sim.now + sim.randomDuration(2*time.Second)
		return
	}
	sim.Kills++
	n.incarnation++
	n.up = false
	sim.after(sim.randomDuration(300*time.Millisecond), sim.refreshView)
	sim.after(sim.randomDuration(time.Second), func() {
		sim.start(n)
		sim.refreshView()
		sim.recoverReservations(n)
	})
}

// recordRun records that a backend ran a request. It checks that the request has not run before and
// that no answer said that this attempt was not run.
func (sim *Requests) recordRun(id, name string) {
	sim.Ran++
	if sim.runs[id]++; sim.runs[id] > 1 {
		sim.violation("%s ran %d times", id, sim.runs[id])
	}
	if sim.promisedNotRun[name] {
		sim.violation("%s ran after its answer said that it was not run", name)
	}
}

func (sim *Requests) violation(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}
