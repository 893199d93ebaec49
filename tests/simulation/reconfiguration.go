package simulation

import (
	"fmt"
	"slices"
	"time"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
)

// wallClockBase is the wall-clock time at the start of a simulation.
var wallClockBase = time.Unix(1_700_000_000, 0)

// maxReplicas is the number of present replicas at which changeMembers adds no further replica.
const maxReplicas = 9

// NewDynamicMembership returns a simulation in which replicas join and leave. The given number of
// founders bootstrap the cluster.
func NewDynamicMembership(seed uint64, founders int, faults Faults) *Consensus {
	sim := NewConsensus(seed, 0, faults)
	sim.dynamicMembership, sim.members = true, founders
	for i := range founders {
		sim.founders = append(sim.founders, fmt.Sprintf("replica %d", i))
	}
	for i := range founders {
		r := &replica{addr: sim.founders[i], disk: consensus.Bootstrap{NewCluster: true, InitialMembers: sim.founders, AdvertiseAddr: sim.founders[i]}.InitialState(sim.rng.Uint64() | 1)}
		sim.replicas = append(sim.replicas, r)
		sim.after(sim.randomDuration(time.Second), func() { sim.start(r) })
	}
	return sim
}

// replicaAt returns the replica at an address, or nil.
func (sim *Consensus) replicaAt(addr string) *replica {
	i := slices.IndexFunc(sim.replicas, func(r *replica) bool { return r.addr == addr })
	if i < 0 {
		return nil
	}
	return sim.replicas[i]
}

// wallTime returns the simulated wall-clock time.
func (sim *Consensus) wallTime() time.Time { return wallClockBase.Add(sim.now) }

// startHeartbeats makes a replica send heartbeats until it is killed.
func (sim *Consensus) startHeartbeats(r *replica, incarnation int) {
	var heartbeat func()
	heartbeat = func() {
		if !r.up || r.incarnation != incarnation {
			return
		}
		sim.whenRunning(r, func() { sim.heartbeat(r) })
		sim.after(membership.HeartbeatInterval, heartbeat)
	}
	heartbeat()
}

// status returns the status that a replica reports about itself in heartbeats.
func (r *replica) status() membership.Replica {
	acceptor := r.acceptor
	status := membership.Replica{
		MemberID: acceptor.Self.MemberID, MemberCount: len(acceptor.MemberSets().Current), Members: consensus.MemberIDs(acceptor.MemberSets().Current), AcceptedRevision: acceptor.Position.Revision, Addr: r.addr, MemberIncarnation: acceptor.Self.Incarnation,
		Established: acceptor.Phase == consensus.PhaseEstablished, CommittedRevision: acceptor.Committed,
	}
	if acceptor.Committed < acceptor.Position.Revision {
		status.PreviousMembers = consensus.MemberIDs(acceptor.MemberSets().Previous)
	}
	return status
}

// heartbeat exchanges status with all other replicas. If the replica is the coordinator, it also
// removes members that have been unreachable long enough.
func (sim *Consensus) heartbeat(r *replica) {
	known, status := r.members.Observed(), r.status()
	for _, to := range sim.replicas {
		if to != r && !to.removed {
			sim.exchangeStatus(r, to, status, known)
		}
	}
	r.reconfigurer = r.reconfigurer.Observe(r.acceptor.MemberSets().Current, r.knownMembers(sim.wallTime()), sim.now)
	if r.acceptor.IsMember() && sim.coordinatorOf(r) == r {
		if command, ok := r.reconfigurer.PlanRemoval(r.acceptor, sim.now); ok {
			sim.reconfigure(r, command)
		}
	}
}

// exchangeStatus sends the status of a replica and of the replicas it knows to another replica,
// which replies with its own.
func (sim *Consensus) exchangeStatus(r, to *replica, status membership.Replica, known []membership.Replica) {
	sim.send(r, to, func() {
		sim.observeReplicas(to, status, known)
		reply, replyKnown := to.status(), to.members.Observed()
		sim.send(to, r, func() { sim.observeReplicas(r, reply, replyKnown) })
	})
}

// observeReplicas records the status of the sender of a heartbeat and of the replicas that the
// sender knows.
func (sim *Consensus) observeReplicas(r *replica, sender membership.Replica, known []membership.Replica) {
	r.members = r.members.AddReported(known, sim.wallTime())
	if sender.Established {
		sim.receiveStatus(r, sender)
	}
}

// receiveStatus records the status of another replica, and fetches the state of that replica if it
// has committed a newer revision.
func (sim *Consensus) receiveStatus(r *replica, status membership.Replica) {
	r.members = r.members.Observe(status, sim.wallTime())
	acceptor := r.acceptor
	if status.CommittedRevision > acceptor.Committed {
		from := sim.replicaAt(status.Addr)
		sim.send(r, from, func() {
			_, reply := from.acceptor.Step(consensus.Message{Sender: acceptor.Self, Type: consensus.MsgRead})
			sim.send(from, r, func() {
				if reply.Committed != reply.Position.Revision {
					return
				}
				next, _ := r.acceptor.Step(consensus.Message{Sender: r.acceptor.Self, Type: consensus.MsgCommit, Term: reply.Position.Term, Position: reply.Position, State: reply.State})
				sim.save(r, next)
				sim.recordCommitted(r)
			})
		})
	}
}

// knownMembers returns the status of each member that a replica knows, by member ID.
func (r *replica) knownMembers(now time.Time) map[int]consensus.MemberStatus {
	out := map[int]consensus.MemberStatus{}
	live := r.members.Live(now)
	for _, status := range r.members.All() {
		out[status.MemberID] = consensus.MemberStatus{Addr: status.Addr, Live: slices.ContainsFunc(live, func(other membership.Replica) bool { return other.MemberID == status.MemberID })}
	}
	if acceptor := r.acceptor; acceptor.Self.MemberID != 0 {
		out[acceptor.Self.MemberID] = consensus.MemberStatus{Addr: r.addr, Live: true}
	}
	return out
}

// coordinatorOf returns the replica that r considers the coordinator: the live member with the
// lowest ID. It returns r if r knows no such member.
func (sim *Consensus) coordinatorOf(r *replica) *replica {
	set := consensus.MemberIDs(r.acceptor.MemberSets().Current)
	if members, _, revision := r.members.Members(); len(members) > 0 && (revision > r.acceptor.Position.Revision || len(set) == 0) {
		set = members
	}
	member := r.acceptor.Phase == consensus.PhaseEstablished && slices.Contains(set, r.acceptor.Self.MemberID)
	for _, status := range r.members.Live(sim.wallTime()) {
		if status.MemberID != r.acceptor.Self.MemberID && slices.Contains(set, status.MemberID) && (status.MemberID < r.acceptor.Self.MemberID || !member) {
			return sim.replicaAt(status.Addr)
		}
	}
	return r
}

// requestMembership lets a replica that is not a member request to join. It reports whether the
// replica is still waiting to join.
func (sim *Consensus) requestMembership(r *replica) bool {
	if r.acceptor.Removed() {
		sim.trace(r, "is no longer a member")
		sim.Removed++
		sim.save(r, r.acceptor.Rejoining(sim.rng.Uint64()|1))
	}
	if r.acceptor.Phase != consensus.PhaseJoining {
		return false
	}
	if !r.leaving && sim.rng.IntN(4) == 0 {
		if coordinator := sim.coordinatorOf(r); coordinator != r {
			sim.sendJoinRequest(r, coordinator)
		}
	}
	return true
}

// sendJoinRequest asks the coordinator to add a replica to the member set.
func (sim *Consensus) sendJoinRequest(r, coordinator *replica) {
	request := consensus.JoinRequest{DiskID: r.acceptor.Self.DiskID, Addr: r.addr}
	sim.send(r, coordinator, func() {
		if !coordinator.acceptor.IsMember() || sim.coordinatorOf(coordinator) != coordinator {
			return
		}
		if command, ok := coordinator.reconfigurer.PlanJoin(request, coordinator.acceptor, coordinator.knownMembers(sim.wallTime()), sim.now); ok {
			sim.reconfigure(coordinator, command)
		}
	})
}

// reconfigure submits a change of the member set, unless a change by the same replica is in
// progress.
func (sim *Consensus) reconfigure(r *replica, command consensus.Command) {
	if r.reconfiguring {
		return
	}
	r.reconfiguring = true
	sim.trace(r, "adds %s as %d, removes %d", command.Joining.Addr, command.Joining.MemberID, command.Leaving)
	incarnation := r.incarnation
	sim.submit(r, command, func(consensus.CommandResult) {
		if r.incarnation == incarnation {
			r.reconfiguring = false
		}
	})
}
