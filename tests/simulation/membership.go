package simulation

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/watch"
)

// Membership is a run of membership, feed and following: sidecars that heartbeat, probe,
// accuse, refute and follow, and cores that sum up, through losses, delays, cuts,
// freezes and kills. Feeds, copies, watches and seats are the production's.
type Membership struct {
	clock
	rng      *rand.Rand
	base     time.Time
	replicas []*gossipReplica
	sidecars []*gossipSidecar
	until    time.Duration // the faults stop here
	// Violations lists what must never happen and did; the others count.
	Violations                                         []string
	Revisions, Suspected, Refuted, Missing, Redirected int
	// DeltaHeartbeats counts heartbeats that told a difference, Whole those that were asked for whole.
	DeltaHeartbeats, FullHeartbeats int
	// Patched counts words that were told by a difference, Unread those that could not be
	// made whole.
	Patched, Unreadable int
}

type gossipHost struct {
	addr        string
	incarnation int
	up          bool
	frozenUntil time.Duration
	partition   int
}

type gossipReplica struct {
	gossipHost
	memberID int
	startID  uint64
	watch    *watch.EventLog
	revision uint64 // settled here
}

type gossipSidecar struct {
	gossipHost
	node           membership.Node
	monitor        *membership.FailureDetector
	replicas       membership.ReplicaTable
	heartbeats     map[string]membership.HeartbeatEncoder
	sequence       uint
	mirror         *watch.Mirror
	revision       uint64
	replica        *gossipReplica
	replicaStartID uint64 // of the core that is followed
	offset         watch.Request
	patchBase      watch.StateDecoder
	failedAt       map[string]time.Duration
}

// NewMembership lays a run out.
func NewMembership(seed uint64, cores, sides int) *Membership {
	sim := &Membership{rng: rand.New(rand.NewPCG(seed, 23)), base: time.Now(), until: 40 * time.Second}
	for i := range cores {
		replica := &gossipReplica{gossipHost: gossipHost{addr: fmt.Sprintf("core-%d", i+1)}, memberID: i + 1}
		sim.replicas = append(sim.replicas, replica)
		sim.startReplica(replica)
	}
	for i := range sides {
		sidecar := &gossipSidecar{gossipHost: gossipHost{addr: fmt.Sprintf("side-%d", i)}}
		sim.sidecars = append(sim.sidecars, sidecar)
		sim.startSidecar(sidecar)
	}
	return sim
}

func (sim *Membership) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d) + 1))
}

func (sim *Membership) startReplica(replica *gossipReplica) {
	replica.up, replica.startID = true, sim.rng.Uint64()
	replica.watch = watch.NewEventLog(replica.startID, sim.now)
	if replica.revision > 0 { // it was on its disk
		replica.watch.ObserveCommitted(stateOf(replica.revision))
	}
	sim.every(&replica.gossipHost, 100*time.Millisecond, func() { replica.watch.DetectPause(sim.now); replica.watch.Tick(sim.now) })
	sim.every(&replica.gossipHost, 300*time.Millisecond, func() { sim.catchUp(replica) })
}

func (sim *Membership) startSidecar(sidecar *gossipSidecar) {
	sidecar.up, sidecar.revision, sidecar.replica = true, 0, nil
	sidecar.node = membership.Node{Addr: sidecar.addr, Incarnation: sim.rng.Uint64()}
	sim.changeBackends(sidecar)
	sidecar.monitor, sidecar.replicas, sidecar.mirror, sidecar.failedAt = membership.NewFailureDetector(sidecar.addr), membership.ReplicaTable{}, watch.NewMirror(), map[string]time.Duration{}
	sidecar.patchBase = watch.StateDecoder{}
	sidecar.heartbeats, sidecar.sequence = map[string]membership.HeartbeatEncoder{}, 0
	sim.every(&sidecar.gossipHost, membership.HeartbeatInterval, func() { sim.heartbeat(sidecar) })
	sim.every(&sidecar.gossipHost, membership.HeartbeatInterval, func() { sim.probe(sidecar) })
	sim.every(&sidecar.gossipHost, 200*time.Millisecond, func() { sim.watchReplica(sidecar) })
}

// every does something in rhythm while a host lives; nothing while it is frozen.
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

// call carries a call and its answer; back gets nothing when it is lost or late.
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
	lost := func() bool { return !quiet && sim.rng.IntN(12) == 0 || from.partition != to.partition }
	delay := func() time.Duration {
		if !quiet && sim.rng.IntN(30) == 0 {
			return sim.randomDuration(2 * time.Second)
		}
		return sim.randomDuration(10 * time.Millisecond)
	}
	if lost() {
		return
	}
	sim.after(delay(), func() {
		if !to.up {
			finish(nil, true)
			return
		}
		targetIncarnation := to.incarnation
		sim.after(max(0, to.frozenUntil-sim.now), func() {
			if to.incarnation != targetIncarnation || !to.up || lost() {
				return
			}
			answer := handle()
			sim.after(delay(), func() { finish(answer, false) })
		})
	})
}

// heartbeat tells the cores of this node and learns of their seats and of accusers.
func (sim *Membership) heartbeat(sidecar *gossipSidecar) {
	sidecar.node.AppliedRevision = sidecar.revision
	sidecar.node.Suspects = sidecar.monitor.Suspects(sidecar.mirror.Nodes)
	sim.Suspected += len(sidecar.node.Suspects)
	sidecar.sequence++
	for _, replica := range sim.replicas {
		sim.sendHeartbeat(sidecar, replica)
	}
}

// sendHeartbeat heartbeats one core with what it lacks.
func (sim *Membership) sendHeartbeat(sidecar *gossipSidecar, replica *gossipReplica) {
	full := sidecar.node
	full.Sequence = sidecar.sequence
	sent := sidecar.heartbeats[replica.addr].Encode(membership.Heartbeat{Node: &full, TableDigest: 1}, sidecar.sequence%4 == 0)
	if sent.NodeStatus != nil {
		sim.DeltaHeartbeats++
	}
	sim.call(&sidecar.gossipHost, &replica.gossipHost, 750*time.Millisecond, func() any {
		replica.watch.DetectPause(sim.now)
		reply := membership.Heartbeat{TableDigest: 1}
		if sent.Node != nil {
			replica.watch.ObserveNode(*sent.Node, sim.now)
		} else {
			reply.RequestFull = !replica.watch.ObserveStatus(*sent.NodeStatus, sim.now)
		}
		for _, n := range replica.watch.Nodes() {
			if !slices.Equal(n.Backends, backends(n)) {
				sim.violation("%s shows %+v", replica.addr, n)
			}
		}
		if refutation, ok := replica.watch.Suspected()[sidecar.addr]; ok {
			reply.Suspected = &refutation
		}
		return reply
	}, func(answer any, refused bool) {
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

// backends are those of a node in its boot and revision, and of no other.
func backends(n membership.Node) []membership.Backend {
	return []membership.Backend{{Instance: fmt.Sprint(n.Addr, " ", n.Incarnation, " ", n.Version)}}
}

// changeBackends has a sidecar's backends change.
func (sim *Membership) changeBackends(sidecar *gossipSidecar) {
	sidecar.node.Version++
	sidecar.node.Backends = backends(sidecar.node)
}

func (sim *Membership) sidecarAt(addr string) *gossipSidecar {
	return sim.sidecars[slices.IndexFunc(sim.sidecars, func(sidecar *gossipSidecar) bool { return sidecar.addr == addr })]
}

// probe asks those that this node watches.
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

// watchReplica asks the core that ranks first among the live ones; one that failed comes
// last.
func (sim *Membership) watchReplica(sidecar *gossipSidecar) {
	live := rendezvous.Rank(sidecar.addr, sidecar.replicas.Live(sim.base.Add(sim.now)), func(c membership.Replica) string { return c.Addr })
	if len(live) == 0 {
		return
	}
	slices.SortStableFunc(live, func(a, b membership.Replica) int {
		return int(sidecar.failedAt[a.Addr]/1e6) - int(sidecar.failedAt[b.Addr]/1e6)
	})
	replica := sim.replicas[live[0].MemberID-1]
	if sidecar.replica != replica || sidecar.replicaStartID != live[0].Incarnation {
		sidecar.replica, sidecar.replicaStartID, sidecar.offset = replica, live[0].Incarnation, watch.Request{}
		sim.Redirected++
	}
	offset, request := sidecar.offset, sidecar.patchBase.Prepare(sidecar.offset)
	sim.call(&sidecar.gossipHost, &replica.gossipHost, 900*time.Millisecond, func() any {
		replica.watch.DetectPause(sim.now)
		if !replica.watch.Ready(sim.now) {
			return false
		}
		updates, _ := replica.watch.Since(request)
		return updates
	}, func(answer any, _ bool) {
		updates, ok := answer.(watch.Updates)
		if !ok {
			sidecar.failedAt[replica.addr] = sim.now
			return
		}
		if sidecar.replica != replica || sidecar.offset.LogID != offset.LogID || sidecar.offset.Offset != offset.Offset {
			return // a later call has been answered
		}
		for _, event := range updates.Events {
			if event.StatePatch != nil {
				sim.Patched++
			}
		}
		updates.Events = slices.Clone(updates.Events) // the core's own
		if !sidecar.patchBase.Decode(&updates) {
			sim.Unreadable++
			return // it asks for the whole next
		}
		sidecar.offset = watch.Request{LogID: updates.LogID, Offset: updates.Offset}
		if state, _ := sidecar.mirror.Apply(updates); state != nil {
			if state.Revision < sidecar.revision {
				sim.violation("%s went from stamp %d back to %d", sidecar.addr, sidecar.revision, state.Revision)
			}
			sidecar.revision = state.Revision
			if !bytes.Equal(state.Configuration, stateOf(state.Revision).Configuration) {
				sim.violation("%s put something else in force as stamp %d", sidecar.addr, state.Revision)
			}
		}
	})
}

// catchUp copies what another core has settled, as heartbeats between cores bring about.
func (sim *Membership) catchUp(replica *gossipReplica) {
	for _, peer := range sim.replicas {
		sim.call(&replica.gossipHost, &peer.gossipHost, time.Second, func() any { return peer.revision }, func(answer any, _ bool) {
			if revision, ok := answer.(uint64); ok && revision > replica.revision {
				replica.revision = revision
				replica.watch.ObserveCommitted(stateOf(revision))
			}
		})
	}
}

// stateOf is the word of a stamp; words differ in a small part.
func stateOf(revision uint64) config.ControlState {
	text := strings.Repeat("a route that stays as it is; ", 10)
	return config.ControlState{Revision: revision, Configuration: fmt.Appendf([]byte(text), "a route as of stamp %d; %s", revision, text)}
}

// write settles a new word on one core that lives.
func (sim *Membership) write() {
	replica := sim.replicas[sim.rng.IntN(len(sim.replicas))]
	if !replica.up || replica.frozenUntil > sim.now {
		return
	}
	sim.Revisions++
	replica.revision = uint64(sim.Revisions)
	replica.watch.ObserveCommitted(stateOf(replica.revision))
}

// Run brings faults about for a while, then none, and looks whether all agree.
func (sim *Membership) Run() {
	sim.repeat(800*time.Millisecond, sim.write)
	sim.repeat(time.Second, sim.injectFault)
	sim.repeat(300*time.Millisecond, func() {
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
	// A core that has just started listens for 1.2 s first; then 2 s.
	sim.run(sim.until + watch.StartupDelay + 2*time.Second)
	sim.checkAgreement("2 s after all was whole", false)
	sim.run(sim.until + 8*time.Second)
	sim.checkAgreement("8 s after all was whole", true)
}

func (sim *Membership) repeat(interval time.Duration, action func()) {
	sim.after(sim.randomDuration(2*interval), func() {
		if sim.now < sim.until {
			action()
			sim.repeat(interval, action)
		}
	})
}

// checkAgreement checks that all have the newest word, and, if nodes is set, that all know
// just the nodes that live.
func (sim *Membership) checkAgreement(when string, nodes bool) {
	var newest uint64
	for _, replica := range sim.replicas {
		newest = max(newest, replica.revision)
	}
	type now struct{ boot, rev uint64 }
	want := map[string]now{}
	for _, sidecar := range sim.sidecars {
		want[sidecar.addr] = now{sidecar.node.Incarnation, sidecar.node.Version}
	}
	for _, sidecar := range sim.sidecars {
		if sidecar.revision < newest {
			sim.violation("%s: %s is at stamp %d, the newest is %d", when, sidecar.addr, sidecar.revision, newest)
		}
		got := map[string]now{}
		for _, n := range sidecar.mirror.Nodes {
			got[n.Addr] = now{n.Incarnation, n.Version}
		}
		if nodes && !maps.Equal(got, want) {
			sim.violation("%s: %s knows %v, there are %v", when, sidecar.addr, got, want)
		}
		sim.Missing += len(want) - len(got)
	}
}

func (sim *Membership) hosts() (out []*gossipHost) {
	for _, replica := range sim.replicas {
		out = append(out, &replica.gossipHost)
	}
	for _, sidecar := range sim.sidecars {
		out = append(out, &sidecar.gossipHost)
	}
	return out
}

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

// injectFault kills, freezes, cuts and mends.
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
