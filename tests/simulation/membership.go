package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/watch"
)

// Membership simulates membership and the watch for updates. Sidecars send heartbeats, probe
// each other, report and refute suspicions, and watch replicas. Replicas merge the heartbeats.
// Messages are lost and delayed, and processes are partitioned, paused and killed. The event
// logs, mirrors, failure detectors and replica tables are production code.
type Membership struct {
	randomClock
	base     time.Time // wall-clock time at the start
	replicas []*gossipReplica
	sidecars []*gossipSidecar
	until    time.Duration // time at which faults stop
	// Violations describes each violation of an invariant.
	Violations []string
	// Revisions counts written revisions, Suspected and Refuted suspicions that were sent and
	// refuted, Missing nodes that sidecars lack after recovery, and Redirected changes of the
	// watched replica.
	Revisions, Suspected, Refuted, Missing, Redirected int
	// DeltaHeartbeats counts heartbeats sent as a difference, FullHeartbeats the full
	// heartbeats that replicas requested.
	DeltaHeartbeats, FullHeartbeats int
	// Patched counts states sent as a patch, Unreadable the updates that could not be
	// decoded.
	Patched, Unreadable int
}

// gossipHost is a process and its state in the network.
type gossipHost struct {
	addr        string
	incarnation int // number of kills, to discard events of earlier processes
	up          bool
	pausedUntil time.Duration
	partition   int // messages are delivered only within a partition
}

// gossipReplica is a control plane replica.
type gossipReplica struct {
	gossipHost
	memberID int
	startID  uint64 // the incarnation that the production code compares
	watch    *watch.EventLog
	revision uint64 // the newest revision committed at this replica
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
	replica        *gossipReplica // the watched replica
	replicaStartID uint64
	offset         watch.Request
	decoder        watch.StateDecoder
	failedAt       map[string]time.Duration // by replica address
}

// NewMembership returns a simulation with the given numbers of replicas and sidecars.
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

// startReplica starts a replica. The newest revision committed at the replica survives restarts.
func (sim *Membership) startReplica(replica *gossipReplica) {
	replica.up, replica.startID = true, sim.rng.Uint64()
	replica.watch = watch.NewEventLog(replica.startID, sim.now)
	if replica.revision > 0 {
		replica.watch.ObserveCommitted(stateOf(replica.revision))
	}
	sim.every(&replica.gossipHost, 100*time.Millisecond, func() { replica.watch.DetectPause(sim.now); replica.watch.Tick(sim.now) })
	sim.every(&replica.gossipHost, 300*time.Millisecond, func() { sim.catchUp(replica) })
}

// startSidecar starts a sidecar without any state of an earlier start.
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

// every runs an action at an interval until its process is killed, except while the process is
// paused.
func (sim *Membership) every(h *gossipHost, interval time.Duration, action func()) {
	incarnation := h.incarnation
	var next func()
	next = func() {
		if h.incarnation != incarnation || !h.up {
			return
		}
		if h.pausedUntil <= sim.now {
			action()
		}
		sim.after(interval, next)
	}
	sim.after(sim.randomDuration(interval), next)
}

// call delivers a call and its answer. done is called with a nil answer if the call or its answer
// is lost or later than timeout. refused reports that the target is down.
func (sim *Membership) call(from, to *gossipHost, timeout time.Duration, handle func() any, done func(answer any, refused bool)) {
	incarnation, finished := from.incarnation, false
	finish := func(answer any, refused bool) {
		sim.after(max(0, from.pausedUntil-sim.now), func() {
			if !finished && from.incarnation == incarnation && from.up {
				finished = true
				done(answer, refused)
			}
		})
	}
	sim.after(timeout, func() { finish(nil, false) })
	faultsEnded := sim.now >= sim.until
	if sim.lost(from, to, faultsEnded) {
		return
	}
	sim.after(sim.delay(faultsEnded), func() {
		if !to.up {
			finish(nil, true)
			return
		}
		targetIncarnation := to.incarnation
		sim.after(max(0, to.pausedUntil-sim.now), func() {
			if to.incarnation != targetIncarnation || !to.up || sim.lost(from, to, faultsEnded) {
				return
			}
			answer := handle()
			sim.after(sim.delay(faultsEnded), func() { finish(answer, false) })
		})
	})
}

// lost reports whether a message is lost, at random or by a partition. Messages of a call
// that starts after the faults have ended are lost only by a partition.
func (sim *Membership) lost(from, to *gossipHost, faultsEnded bool) bool {
	return !faultsEnded && sim.rng.IntN(12) == 0 || from.partition != to.partition
}

// delay draws the delay of a message. One message in 30 takes up to 2 s, unless its call starts
// after the faults have ended.
func (sim *Membership) delay(faultsEnded bool) time.Duration {
	if !faultsEnded && sim.rng.IntN(30) == 0 {
		return sim.randomDuration(2 * time.Second)
	}
	return sim.randomDuration(10 * time.Millisecond)
}

// heartbeat sends a heartbeat with the current suspicions to all replicas.
func (sim *Membership) heartbeat(sidecar *gossipSidecar) {
	sidecar.node.AppliedRevision = sidecar.revision
	sidecar.node.Suspects = sidecar.monitor.Suspects(sidecar.mirror.Nodes)
	sim.Suspected += len(sidecar.node.Suspects)
	sidecar.sequence++
	for _, replica := range sim.replicas {
		sim.sendHeartbeat(sidecar, replica)
	}
}

// sendHeartbeat sends a heartbeat, reduced to the difference if the replica has the rest, and
// handles the reply. The reply marks the replica as live, and may report a suspicion of this node
// or request a full heartbeat.
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
		nextState, fullRequested := sidecar.heartbeats[replica.addr].Acknowledge(sent, reply)
		sidecar.heartbeats[replica.addr] = nextState
		if fullRequested {
			sim.FullHeartbeats++
			sim.sendHeartbeat(sidecar, replica)
		}
	})
}

// receiveHeartbeat records a heartbeat at a replica and returns the reply. It checks that the
// replica lists every node with the backends of the node's incarnation and version.
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
			sim.violation("%s lists a node with the backends of another version: %+v", replica.addr, n)
		}
	}
	if refutation, ok := replica.watch.Suspected()[sender]; ok {
		reply.Suspected = &refutation
	}
	return reply
}

// backends returns the backends of a node, which differ in each incarnation and version.
func backends(n membership.Node) []membership.Backend {
	return []membership.Backend{{Instance: fmt.Sprint(n.Addr, " ", n.Incarnation, " ", n.Version)}}
}

// changeBackends increments the version of a sidecar's node and sets its backends to match.
func (*Membership) changeBackends(sidecar *gossipSidecar) {
	sidecar.node.Version++
	sidecar.node.Backends = backends(sidecar.node)
}

// sidecarAt returns the sidecar at an address, which must exist.
func (sim *Membership) sidecarAt(addr string) *gossipSidecar {
	return sim.sidecars[slices.IndexFunc(sim.sidecars, func(sidecar *gossipSidecar) bool { return sidecar.addr == addr })]
}

// probe probes the nodes that a sidecar monitors and records the results in its failure detector.
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

// Run injects faults for 40 s, then stops them and checks that all sidecars agree.
func (sim *Membership) Run() {
	sim.repeat(800*time.Millisecond, sim.until, sim.write)
	sim.repeat(time.Second, sim.until, sim.injectFault)
	sim.repeat(300*time.Millisecond, sim.until, func() {
		if sidecar := sim.sidecars[sim.rng.IntN(len(sim.sidecars))]; sidecar.up && sidecar.pausedUntil <= sim.now {
			sim.changeBackends(sidecar)
		}
	})
	sim.run(sim.until)
	for _, h := range sim.hosts() {
		h.partition, h.pausedUntil = 0, min(h.pausedUntil, sim.now)
		if !h.up {
			sim.restart(h)
		}
	}
	// A replica that has just started serves no updates during StartupDelay. The sidecars then
	// have 2 s to apply the newest revision.
	sim.run(sim.until + watch.StartupDelay + 2*time.Second)
	sim.checkAgreement("2 s after recovery", false)
	sim.run(sim.until + 8*time.Second)
	sim.checkAgreement("8 s after recovery", true)
}

// checkAgreement checks that all sidecars have applied the newest revision. If nodes is set, it
// also checks that all sidecars list exactly the nodes that exist, at their current versions.
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
			sim.violation("%s: %s is at revision %d, want %d", when, sidecar.addr, sidecar.revision, newest)
		}
		got := map[string]version{}
		for _, n := range sidecar.mirror.Nodes {
			got[n.Addr] = version{n.Incarnation, n.Version}
		}
		if nodes && !maps.Equal(got, want) {
			sim.violation("%s: %s lists nodes %v, want %v", when, sidecar.addr, got, want)
		}
		sim.Missing += len(want) - len(got)
	}
}

// hosts returns all processes, the replicas first.
func (sim *Membership) hosts() (out []*gossipHost) {
	for _, replica := range sim.replicas {
		out = append(out, &replica.gossipHost)
	}
	for _, sidecar := range sim.sidecars {
		out = append(out, &sidecar.gossipHost)
	}
	return out
}

// restart starts a killed process.
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

// injectFault kills, pauses or moves a random process to a random partition, or ends all
// partitions.
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
		h.pausedUntil = sim.now + sim.randomDuration(5*time.Second)
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
