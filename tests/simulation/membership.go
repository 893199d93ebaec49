package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/watch"
)

// Membership is a run of membership and watch: sidecars send heartbeats, probe, suspect,
// refute and watch, and replicas merge what they observe, under losses, delays, partitions,
// freezes and kills. The event logs, mirrors, failure detectors and replica tables are the
// production's.
type Membership struct {
	randomClock
	base     time.Time // wall time at the beginning
	replicas []*gossipReplica
	sidecars []*gossipSidecar
	until    time.Duration // the faults stop here
	// Violations lists what must never happen and did.
	Violations []string
	// Revisions and the others count what happened: suspicions sent and refuted, nodes
	// missing from a view in the end, and changes of the watched replica.
	Revisions, Suspected, Refuted, Missing, Redirected int
	// DeltaHeartbeats counts heartbeats that sent a difference, FullHeartbeats those that
	// were requested in full.
	DeltaHeartbeats, FullHeartbeats int
	// Patched counts states that were sent as a patch, Unreadable the patches that could
	// not be applied.
	Patched, Unreadable int
}

// gossipHost is a process with its place in the network.
type gossipHost struct {
	addr        string
	incarnation int // counts its starts
	up          bool
	frozenUntil time.Duration
	partition   int // messages only pass between processes of one partition
}

// gossipReplica is a control plane replica.
type gossipReplica struct {
	gossipHost
	memberID int
	startID  uint64 // its incarnation as the production compares it
	watch    *watch.EventLog
	revision uint64 // the newest that is committed here
}

// gossipSidecar is a sidecar.
type gossipSidecar struct {
	gossipHost
	node           membership.Node
	monitor        *membership.FailureDetector
	replicas       membership.ReplicaTable
	heartbeats     map[string]membership.HeartbeatEncoder // by replica address
	sequence       uint
	mirror         *watch.Mirror
	revision       uint64
	replica        *gossipReplica // that it watches
	replicaStartID uint64
	offset         watch.Request
	decoder        watch.StateDecoder
	failedAt       map[string]time.Duration // by replica address
}

// NewMembership prepares a run of so many replicas and sidecars.
func NewMembership(seed uint64, replicas, sidecars int) *Membership {
	sim := &Membership{randomClock: newRandomClock(seed, 23), base: time.Now(), until: 40 * time.Second}
	for i := range replicas {
		replica := &gossipReplica{gossipHost: gossipHost{addr: fmt.Sprintf("replica-%d", i+1)}, memberID: i + 1}
		sim.replicas = append(sim.replicas, replica)
		sim.startReplica(replica)
	}
	for i := range sidecars {
		sidecar := &gossipSidecar{gossipHost: gossipHost{addr: fmt.Sprintf("sidecar-%d", i)}}
		sim.sidecars = append(sim.sidecars, sidecar)
		sim.startSidecar(sidecar)
	}
	return sim
}

// startReplica starts a replica; the newest committed revision is on its disk.
func (sim *Membership) startReplica(replica *gossipReplica) {
	replica.up, replica.startID = true, sim.rng.Uint64()
	replica.watch = watch.NewEventLog(replica.startID, sim.now)
	if replica.revision > 0 {
		replica.watch.ObserveCommitted(stateOf(replica.revision))
	}
	sim.every(&replica.gossipHost, 100*time.Millisecond, func() { replica.watch.DetectPause(sim.now); replica.watch.Tick(sim.now) })
	sim.every(&replica.gossipHost, 300*time.Millisecond, func() { sim.catchUp(replica) })
}

// startSidecar starts a sidecar with empty memory.
func (sim *Membership) startSidecar(sidecar *gossipSidecar) {
	sidecar.up, sidecar.revision, sidecar.replica = true, 0, nil
	sidecar.node = membership.Node{Addr: sidecar.addr, Incarnation: sim.rng.Uint64()}
	sim.changeBackends(sidecar)
	sidecar.monitor, sidecar.replicas, sidecar.mirror, sidecar.failedAt = membership.NewFailureDetector(sidecar.addr), membership.ReplicaTable{}, watch.NewMirror(), map[string]time.Duration{}
	sidecar.decoder = watch.StateDecoder{}
	sidecar.heartbeats, sidecar.sequence = map[string]membership.HeartbeatEncoder{}, 0
	sim.every(&sidecar.gossipHost, membership.HeartbeatInterval, func() { sim.heartbeat(sidecar) })
	sim.every(&sidecar.gossipHost, membership.HeartbeatInterval, func() { sim.probe(sidecar) })
	sim.every(&sidecar.gossipHost, 200*time.Millisecond, func() { sim.watchReplica(sidecar) })
}

// every runs an action at an interval as long as a process lives, but not while it is frozen.
func (sim *Membership) every(h *gossipHost, interval time.Duration, action func()) {
	incarnation := h.incarnation
	var next func()
	next = func() {
		if h.incarnation != incarnation || !h.up {
			return
		}
		if h.frozenUntil <= sim.now {
			action()
		}
		sim.after(interval, next)
	}
	sim.after(sim.randomDuration(interval), next)
}

// call carries a call and its answer; done gets nil when it is lost or late. refused tells that
// the target is down.
func (sim *Membership) call(from, to *gossipHost, timeout time.Duration, handle func() any, done func(answer any, refused bool)) {
	incarnation, finished := from.incarnation, false
	finish := func(answer any, refused bool) {
		sim.after(max(0, from.frozenUntil-sim.now), func() {
			if !finished && from.incarnation == incarnation && from.up {
				finished = true
				done(answer, refused)
			}
		})
	}
	sim.after(timeout, func() { finish(nil, false) })
	quiet := sim.now >= sim.until
	if sim.lost(from, to, quiet) {
		return
	}
	sim.after(sim.delay(quiet), func() {
		if !to.up {
			finish(nil, true)
			return
		}
		targetIncarnation := to.incarnation
		sim.after(max(0, to.frozenUntil-sim.now), func() {
			if to.incarnation != targetIncarnation || !to.up || sim.lost(from, to, quiet) {
				return
			}
			answer := handle()
			sim.after(sim.delay(quiet), func() { finish(answer, false) })
		})
	})
}

// lost draws whether a message is lost. Of a call that is quiet, as those after the faults are,
// none is lost but by a partition.
func (sim *Membership) lost(from, to *gossipHost, quiet bool) bool {
	return !quiet && sim.rng.IntN(12) == 0 || from.partition != to.partition
}

// delay draws how long a message is on its way; one of thirty is late, unless its call is quiet.
func (sim *Membership) delay(quiet bool) time.Duration {
	if !quiet && sim.rng.IntN(30) == 0 {
		return sim.randomDuration(2 * time.Second)
	}
	return sim.randomDuration(10 * time.Millisecond)
}

// heartbeat sends a heartbeat to all replicas.
func (sim *Membership) heartbeat(sidecar *gossipSidecar) {
	sidecar.node.AppliedRevision = sidecar.revision
	sidecar.node.Suspects = sidecar.monitor.Suspects(sidecar.mirror.Nodes)
	sim.Suspected += len(sidecar.node.Suspects)
	sidecar.sequence++
	for _, replica := range sim.replicas {
		sim.sendHeartbeat(sidecar, replica)
	}
}

// sendHeartbeat sends what a replica lacks, and takes in its reply: its status, suspicions of
// this node, or a request for a full heartbeat.
func (sim *Membership) sendHeartbeat(sidecar *gossipSidecar, replica *gossipReplica) {
	full := sidecar.node
	full.Sequence = sidecar.sequence
	sent := sidecar.heartbeats[replica.addr].Encode(membership.Heartbeat{Node: &full, TableDigest: 1}, sidecar.sequence%4 == 0)
	if sent.NodeStatus != nil {
		sim.DeltaHeartbeats++
	}
	sim.call(&sidecar.gossipHost, &replica.gossipHost, 750*time.Millisecond, func() any {
		return sim.receiveHeartbeat(replica, sidecar.addr, sent)
	}, func(answer any, _ bool) {
		reply, ok := answer.(membership.Heartbeat)
		if !ok {
			return
		}
		sidecar.replicas = sidecar.replicas.Observe(membership.Replica{MemberID: replica.memberID, MemberCount: len(sim.replicas), Addr: replica.addr, MemberIncarnation: 1, Incarnation: replica.startID, Established: true}, sim.base.Add(sim.now))
		if reply.Suspected != nil && *reply.Suspected >= sidecar.node.Refutation {
			sidecar.node.Refutation = *reply.Suspected + 1
			sim.Refuted++
		}
		nextState, again := sidecar.heartbeats[replica.addr].Acknowledge(sent, reply)
		sidecar.heartbeats[replica.addr] = nextState
		if again {
			sim.FullHeartbeats++
			sim.sendHeartbeat(sidecar, replica)
		}
	})
}

// receiveHeartbeat has a replica take in a heartbeat, and returns its reply. It checks that the
// replica shows no node with the backends of another version.
func (sim *Membership) receiveHeartbeat(replica *gossipReplica, sender string, heartbeat membership.Heartbeat) membership.Heartbeat {
	replica.watch.DetectPause(sim.now)
	reply := membership.Heartbeat{TableDigest: 1}
	if heartbeat.Node != nil {
		replica.watch.ObserveNode(*heartbeat.Node, sim.now)
	} else {
		reply.RequestFull = !replica.watch.ObserveStatus(*heartbeat.NodeStatus, sim.now)
	}
	for _, n := range replica.watch.Nodes() {
		if !slices.Equal(n.Backends, backends(n)) {
			sim.violation("%s shows %+v", replica.addr, n)
		}
	}
	if refutation, ok := replica.watch.Suspected()[sender]; ok {
		reply.Suspected = &refutation
	}
	return reply
}

// backends are the backends of a node, different in each incarnation and version.
func backends(n membership.Node) []membership.Backend {
	return []membership.Backend{{Instance: fmt.Sprint(n.Addr, " ", n.Incarnation, " ", n.Version)}}
}

// changeBackends gives a sidecar the backends of its next version.
func (*Membership) changeBackends(sidecar *gossipSidecar) {
	sidecar.node.Version++
	sidecar.node.Backends = backends(sidecar.node)
}

// sidecarAt is the sidecar at an address.
func (sim *Membership) sidecarAt(addr string) *gossipSidecar {
	return sim.sidecars[slices.IndexFunc(sim.sidecars, func(sidecar *gossipSidecar) bool { return sidecar.addr == addr })]
}

// probe probes the nodes that a sidecar monitors.
func (sim *Membership) probe(sidecar *gossipSidecar) {
	for _, addr := range sidecar.monitor.Monitored(slices.Sorted(maps.Keys(sidecar.mirror.Nodes))) {
		target := sim.sidecarAt(addr)
		sim.call(&sidecar.gossipHost, &target.gossipHost, membership.HeartbeatInterval, func() any {
			return membership.Probe{Incarnation: target.node.Incarnation, Refutation: target.node.Refutation}
		},
			func(answer any, refused bool) {
				p, ok := answer.(membership.Probe)
				if ok && p.Incarnation == sidecar.mirror.Nodes[addr].Incarnation {
					sidecar.monitor.ObserveProbe(addr, &p, false)
				} else {
					sidecar.monitor.ObserveProbe(addr, nil, refused)
				}
			})
	}
}

// Run brings faults about for a while, then none, and checks that all agree.
func (sim *Membership) Run() {
	sim.repeat(800*time.Millisecond, sim.until, sim.write)
	sim.repeat(time.Second, sim.until, sim.injectFault)
	sim.repeat(300*time.Millisecond, sim.until, func() {
		if sidecar := sim.sidecars[sim.rng.IntN(len(sim.sidecars))]; sidecar.up && sidecar.frozenUntil <= sim.now {
			sim.changeBackends(sidecar)
		}
	})
	sim.run(sim.until)
	for _, h := range sim.hosts() {
		h.partition, h.frozenUntil = 0, min(h.frozenUntil, sim.now)
		if !h.up {
			sim.restart(h)
		}
	}
	// A replica that has just started only listens for StartupDelay; then 2 s.
	sim.run(sim.until + watch.StartupDelay + 2*time.Second)
	sim.checkAgreement("2 s after recovery", false)
	sim.run(sim.until + 8*time.Second)
	sim.checkAgreement("8 s after recovery", true)
}

// checkAgreement checks that all sidecars have applied the newest revision and, if nodes is set,
// that all know exactly the nodes that are up.
func (sim *Membership) checkAgreement(when string, nodes bool) {
	var newest uint64
	for _, replica := range sim.replicas {
		newest = max(newest, replica.revision)
	}
	type version struct{ incarnation, version uint64 }
	want := map[string]version{}
	for _, sidecar := range sim.sidecars {
		want[sidecar.addr] = version{sidecar.node.Incarnation, sidecar.node.Version}
	}
	for _, sidecar := range sim.sidecars {
		if sidecar.revision < newest {
			sim.violation("%s: %s is at revision %d, the newest is %d", when, sidecar.addr, sidecar.revision, newest)
		}
		got := map[string]version{}
		for _, n := range sidecar.mirror.Nodes {
			got[n.Addr] = version{n.Incarnation, n.Version}
		}
		if nodes && !maps.Equal(got, want) {
			sim.violation("%s: %s knows %v, there are %v", when, sidecar.addr, got, want)
		}
		sim.Missing += len(want) - len(got)
	}
}

// hosts lists all processes.
func (sim *Membership) hosts() (out []*gossipHost) {
	for _, replica := range sim.replicas {
		out = append(out, &replica.gossipHost)
	}
	for _, sidecar := range sim.sidecars {
		out = append(out, &sidecar.gossipHost)
	}
	return out
}

// restart starts a process that was killed.
func (sim *Membership) restart(h *gossipHost) {
	for _, replica := range sim.replicas {
		if h == &replica.gossipHost {
			sim.startReplica(replica)
		}
	}
	for _, sidecar := range sim.sidecars {
		if h == &sidecar.gossipHost {
			sim.startSidecar(sidecar)
		}
	}
}

// injectFault kills, freezes, partitions or heals.
func (sim *Membership) injectFault() {
	all := sim.hosts()
	h := all[sim.rng.IntN(len(all))]
	switch sim.rng.IntN(5) {
	case 0:
		if h.up {
			h.up = false
			h.incarnation++
			sim.after(sim.randomDuration(3*time.Second), func() {
				if !h.up {
					sim.restart(h)
				}
			})
		}
	case 1:
		h.frozenUntil = sim.now + sim.randomDuration(5*time.Second)
	case 2, 3:
		h.partition = sim.rng.IntN(2)
	default:
		for _, h := range all {
			h.partition = 0
		}
	}
}

func (sim *Membership) violation(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf(format, args...))
}
