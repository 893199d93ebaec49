package simulation

import (
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// broadcast sends a message to all members that a replica knows, and to the members in the
// member sets of the replies. With othersOnly it skips the sender. It stores the replies by
// member ID and calls received after each.
func (sim *Consensus) broadcast(r *replica, message consensus.Message, othersOnly bool, replies map[int]consensus.Reply, received func(consensus.Reply)) {
	sent := map[int]bool{}
	var sendTo func(set []config.Member)
	sendTo = func(set []config.Member) {
		for _, member := range set {
			if sent[member.MemberID] || othersOnly && member.MemberID == message.Sender.MemberID {
				continue
			}
			sent[member.MemberID] = true
			sim.request(r, member, message, func(reply consensus.Reply) {
				replies[reply.Sender.MemberID] = reply
				sendTo(reply.MemberSets.Union())
				received(reply)
			})
		}
	}
	sendTo(r.acceptor.MemberSets().Union())
}

// request sends a message to a member and calls done with the reply. done is not called if the
// message or the reply is lost, or if the sender has restarted.
func (sim *Consensus) request(from *replica, member config.Member, message consensus.Message, done func(consensus.Reply)) {
	if message.Position.Revision > sim.newestState.Revision && len(message.State.Members) > 0 {
		sim.proposedSets[message.Position.Revision] = append(sim.proposedSets[message.Position.Revision], consensus.MemberSets{Current: message.State.Members, Previous: message.State.PreviousMembers})
	}
	to := sim.replicaFor(from, member)
	if to == nil {
		return
	}
	incarnation := from.incarnation
	sim.send(from, to, func() {
		next, reply := to.acceptor.Step(message)
		if sim.rng.IntN(400) == 0 && sim.now < sim.faults.Until { // the replica loses power during the disk write
			if sim.rng.IntN(2) == 0 {
				to.disk = next
			}
			sim.crash(to)
			return
		}
		sim.save(to, next)
		sim.recordCommitted(to)
		sim.send(to, from, func() {
			if own := reply.FromMember(member); own != nil && from.incarnation == incarnation {
				done(*own)
			}
		})
	})
}

// replicaFor returns the replica that a message from another replica to a member reaches, or
// nil. With static membership it may be the replica that the member has replaced.
func (sim *Consensus) replicaFor(from *replica, member config.Member) *replica {
	memberID := member.MemberID
	if from.acceptor.Self.MemberID == memberID && (member.DiskID == 0 || member.DiskID == from.acceptor.Self.DiskID) {
		return from
	}
	if sim.dynamicMembership {
		if status, ok := from.members.Member(memberID); ok {
			return sim.replicaAt(status.Addr)
		}
		return sim.replicaAt(member.Addr)
	}
	if sim.rng.IntN(5) == 0 { // the sender may still use the address of a replaced replica
		for _, r := range sim.replicas {
			if r.memberID == memberID {
				return r
			}
		}
	}
	return sim.current(memberID)
}

// send delivers a message, which may be lost, delayed or duplicated. Messages between partitions
// are lost.
func (sim *Consensus) send(from, to *replica, deliver func()) {
	if from == to {
		sim.after(time.Microsecond, func() { sim.whenRunning(to, deliver) })
		return
	}
	copies := 1
	faultsEnded := sim.now >= sim.faults.Until
	if !faultsEnded && sim.rng.Float64() < sim.faults.Duplicate {
		copies = 2
	}
	for range copies {
		if !faultsEnded && sim.rng.Float64() < sim.faults.Loss {
			continue
		}
		sim.after(time.Millisecond+sim.randomDuration(sim.faults.Delay), func() {
			if from.partition == to.partition {
				sim.whenRunning(to, deliver)
			}
		})
	}
}
