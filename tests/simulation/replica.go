package simulation

import (
	"time"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
)

// replica is a simulated control plane replica with its disk.
type replica struct {
	memberID    int
	up          bool
	frozenUntil time.Duration // messages queue up until then
	partition   int           // messages only pass between replicas of one partition
	// disk survives a crash; acceptor is the state in memory.
	disk         consensus.Acceptor
	acceptor     consensus.Acceptor
	proposer     *consensus.Proposer
	incarnation  int
	reported     uint64                  // the newest committed revision that was checked
	replies      map[int]consensus.Reply // of the current attempt to join
	joinIdentity consensus.Sender        // that of that attempt; zero while it only reads

	// The rest is used with dynamic membership only.
	addr          string
	removed       bool // for good
	members       membership.ReplicaTable
	reconfigurer  consensus.MembershipPlanner
	reconfiguring bool // a change of the member set is in flight
	leaving       bool // it is being stopped, and does not ask to join
}

// start starts a replica from its disk.
func (sim *Consensus) start(r *replica) {
	r.up, r.reported = true, 0
	sim.trace(r, "starts")
	r.incarnation++
	incarnation := r.incarnation
	r.acceptor = r.disk
	r.acceptor.Committed = 0
	r.proposer = &consensus.Proposer{}
	r.proposer.FollowAcceptor(r.acceptor, sim.now)
	r.members, r.reconfigurer, r.replies, r.reconfiguring = membership.ReplicaTable{}, consensus.MembershipPlanner{RemovalDelay: time.Second}, nil, false
	var tick func()
	tick = func() {
		if r.up && r.incarnation == incarnation {
			sim.whenAwake(r, func() { sim.tick(r) })
			sim.after(50*time.Millisecond, tick)
		}
	}
	tick()
	if sim.dynamicMembership {
		sim.startHeartbeats(r, incarnation)
	}
}

// whenAwake runs an action once a replica is not frozen, unless it has died by then.
func (sim *Consensus) whenAwake(r *replica, action func()) {
	incarnation := r.incarnation
	if r.frozenUntil > sim.now {
		sim.after(r.frozenUntil-sim.now, func() {
			if r.up && r.incarnation == incarnation {
				action()
			}
		})
		return
	}
	if r.up {
		action()
	}
}

// tick is what a replica does regularly: it joins, commits what was left uncommitted, and
// lets its proposer act on timeouts.
func (sim *Consensus) tick(r *replica) {
	if sim.dynamicMembership && sim.requestMembership(r) {
		return
	}
	if r.acceptor.Phase != consensus.PhaseEstablished {
		sim.joinAsMember(r)
		return
	}
	r.proposer.FollowAcceptor(r.acceptor, sim.now)
	if (r.acceptor.Position.Revision > r.acceptor.Committed || len(r.acceptor.State.PreviousMembers) > 0) && sim.rng.IntN(20) == 0 && (!sim.dynamicMembership || sim.coordinatorOf(r) == r) {
		sim.submit(r, consensus.Command{Kind: consensus.CommandRefresh}, func(consensus.CommandResult) {})
	}
	sim.carryOut(r, r.proposer.Tick(sim.now))
}

// joinAsMember lets a static member with an empty disk establish itself: by what a majority
// replies, or by joining in a new incarnation.
func (sim *Consensus) joinAsMember(r *replica) {
	if sim.rng.IntN(6) != 0 {
		return
	}
	if r.replies != nil && r.joinIdentity == (consensus.Sender{}) {
		if next, ok := r.acceptor.Establish(r.replies); ok {
			sim.save(r, next)
			return
		}
		self, eligible := r.acceptor.NextIncarnation(r.replies)
		if r.joinIdentity = (consensus.Sender{}); eligible {
			r.joinIdentity = self
		}
	} else {
		r.joinIdentity = consensus.Sender{}
	}
	r.replies = map[int]consensus.Reply{}
	message := consensus.Message{Sender: r.acceptor.Self, Type: consensus.MsgRead}
	if r.joinIdentity != (consensus.Sender{}) {
		message = consensus.Message{Sender: r.joinIdentity, Type: consensus.MsgJoin}
	}
	replies := r.replies
	sim.broadcast(r, message, true, replies, func(_ consensus.Reply) {
		if self := r.joinIdentity; self == message.Sender && message.Type == consensus.MsgJoin {
			if next, ok := r.acceptor.CompleteJoin(self, replies); ok {
				sim.save(r, next)
				sim.recordCommitted(r)
			}
		}
	})
}

// save writes the next state of a replica to its disk.
func (sim *Consensus) save(r *replica, next consensus.Acceptor) {
	if next.Position != r.acceptor.Position || next.Promised != r.acceptor.Promised || next.Phase != r.acceptor.Phase {
		sim.trace(r, "%s, promised %d, accepted %v %q of %v", next.Phase, next.Promised, next.Position, next.State.Configuration, consensus.MemberIDs(next.MemberSets().Current))
	}
	r.acceptor, r.disk = next, next
	r.proposer.FollowAcceptor(next, sim.now)
}

// carryOut sends the messages that a proposer wants sent, and passes results on.
func (sim *Consensus) carryOut(r *replica, ready []consensus.Ready) {
	for _, item := range ready {
		if item.Result != nil {
			if done, ok := sim.pending[item.Result.ID]; ok {
				delete(sim.pending, item.Result.ID)
				done(*item.Result)
			}
		}
		for _, member := range item.To {
			sim.request(r, member, *item.Message, func(reply consensus.Reply) { sim.carryOut(r, r.proposer.HandleReply(reply, sim.now)) })
		}
	}
}

// submit gives a replica a command; done gets the result.
func (sim *Consensus) submit(r *replica, command consensus.Command, done func(consensus.CommandResult)) {
	sim.nextCommand++
	command.ID, command.Deadline = sim.nextCommand, sim.now+3*time.Second
	if command.Kind == consensus.CommandReconfigure {
		command.Deadline = sim.now + 2*time.Second
	}
	sim.pending[command.ID] = sim.recordHistory(command, done)
	sim.carryOut(r, r.proposer.Enqueue(command, sim.now))
}
