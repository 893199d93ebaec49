package simulation

import (
	"fmt"
	"slices"
	"time"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
)

// wallClockBase is the wall time at the beginning of a run.
var wallClockBase = time.Unix(1_700_000_000, 0)

// maxReplicas bounds how many replicas are present at a time.
const maxReplicas = 9

// NewDynamicMembership prepares a run whose replicas join and leave, founded by so many.
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

// replicaAt is the replica at an address, or nil.
func (sim *Consensus) replicaAt(addr string) *replica {
	i := slices.IndexFunc(sim.replicas, func(r *replica) bool { return r.addr == addr })
	if i < 0 {
		return nil
	}
	return sim.replicas[i]
}

// wallTime is the wall time now.
func (sim *Consensus) wallTime() time.Time { return wallClockBase.Add(sim.now) }

// startHeartbeats has a replica send heartbeats as long as it lives.
func (sim *Consensus) startHeartbeats(r *replica, incarnation int) {
	var heartbeat func()
	heartbeat = func() {
		if !r.up || r.incarnation != incarnation {
			return
		}
		sim.whenAwake(r, func() { sim.heartbeat(r) })
		sim.after(membership.HeartbeatInterval, heartbeat)
	}
	heartbeat()
}

// status is what a replica says of itself in heartbeats.
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

// heartbeat exchanges status with all other replicas, and has the coordinator remove members
// that are gone.
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

// exchangeStatus sends the status of a replica, and of those that it knows, to another one,
// which replies with the same.
func (sim *Consensus) exchangeStatus(r, to *replica, status membership.Replica, known []membership.Replica) {
	sim.send(r, to, func() {
		sim.observeReplicas(to, status, known)
		reply, replyKnown := to.status(), to.members.Observed()
		sim.send(to, r, func() { sim.observeReplicas(r, reply, replyKnown) })
	})
}

// observeReplicas takes in the status of the sender of a heartbeat, and of those that it knows.
func (sim *Consensus) observeReplicas(r *replica, sender membership.Replica, known []membership.Replica) {
	r.members = r.members.AddReported(known, sim.wallTime())
	if sender.Established {
		sim.receiveStatus(r, sender)
	}
}

// receiveStatus takes in the status of another replica, and fetches its state if that is newer.
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

// knownMembers is the status of each member that a replica knows of, by member ID.
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

// coordinatorOf is the replica that another one takes for the coordinator: the live member
// with the lowest ID.
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

// requestMembership lets a replica that is no member ask to join; true if it is not one yet.
func (sim *Consensus) requestMembership(r *replica) bool {
	if r.acceptor.Removed() {
		sim.trace(r, "is no member any more")
		sim.Removed++
		sim.save(r, r.acceptor.Rejoining(sim.rng.Uint64()|1))
	}
	if r.acceptor.Phase != consensus.PhaseJoining {
		return false
	}
	if !r.leaving && sim.rng.IntN(4) == 0 {
		if coordinator := sim.coordinatorOf(r); coordinator != r {
			sim.askToJoin(r, coordinator)
		}
	}
	return true
}

// askToJoin asks the coordinator to add a replica to the member set.
func (sim *Consensus) askToJoin(r, coordinator *replica) {
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

// reconfigure submits a change of the member set, one at a time.
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
