package simulation

import (
	"time"

	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
)

// replica is a simulated control plane replica and its disk.
type replica struct {
	memberID    int
	up          bool
	pausedUntil time.Duration // messages are delivered after this time
	partition   int           // messages are delivered only within a partition
	// disk is the state that survives a crash, acceptor the state in memory.
	disk         consensus.Acceptor
	acceptor     consensus.Acceptor
	proposer     *consensus.Proposer
	incarnation  int                     // number of starts and crashes, to discard events of earlier processes
	reported     uint64                  // newest committed revision that was checked
	replies      map[int]consensus.Reply // replies to the current attempt to join, by member ID
	joinIdentity consensus.Sender        // identity of that attempt; zero while the attempt only reads

	// The remaining fields are used only with dynamic membership.
	addr          string
	removed       bool // permanently removed
	members       membership.ReplicaTable
	reconfigurer  consensus.MembershipPlanner
	reconfiguring bool // a change of the member set is in progress
	leaving       bool // the replica is being stopped and does not request to join
}

// start starts a replica with the state on its disk.
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
			sim.whenRunning(r, func() { sim.tick(r) })
			sim.after(50*time.Millisecond, tick)
		}
	}
	tick()
	if sim.dynamicMembership {
		sim.startHeartbeats(r, incarnation)
	}
}

// whenRunning runs an action as soon as a replica is not paused. The action is dropped if the replica
// has been killed by then.
func (sim *Consensus) whenRunning(r *replica, action func()) {
	incarnation := r.incarnation
	if r.pausedUntil > sim.now {
		sim.after(r.pausedUntil-sim.now, func() {
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

// tick does the periodic work of a replica: it joins the member set, commits a state or a change of
// the member set that was left incomplete, and lets the proposer handle timeouts.
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
	sim.processReady(r, r.proposer.Tick(sim.now))
}

// joinAsMember lets a replica that is not established become an established member, either from the
// replies of a majority or by joining in a new incarnation.
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

// save stores the next state of a replica in memory and on its disk.
func (sim *Consensus) save(r *replica, next consensus.Acceptor) {
	if next.Position != r.acceptor.Position || next.Promised != r.acceptor.Promised || next.Phase != r.acceptor.Phase {
		sim.trace(r, "%s, promised %d, accepted %v %q of %v", next.Phase, next.Promised, next.Position, next.State.Configuration, consensus.MemberIDs(next.MemberSets().Current))
	}
	r.acceptor, r.disk = next, next
	r.proposer.FollowAcceptor(next, sim.now)
}

// processReady sends the messages of a proposer and passes the results of commands to their
// callers.
func (sim *Consensus) processReady(r *replica, ready []consensus.Ready) {
	for _, item := range ready {
		if item.Result != nil {
			if done, ok := sim.pending[item.Result.ID]; ok {
				delete(sim.pending, item.Result.ID)
				done(*item.Result)
			}
		}
		for _, member := range item.To {
			sim.request(r, member, *item.Message, func(reply consensus.Reply) { sim.processReady(r, r.proposer.HandleReply(reply, sim.now)) })
		}
	}
}

// submit enqueues a command at a replica's proposer. done is called with the result.
func (sim *Consensus) submit(r *replica, command consensus.Command, done func(consensus.CommandResult)) {
	sim.nextCommand++
	command.ID, command.Deadline = sim.nextCommand, sim.now+3*time.Second
	if command.Kind == consensus.CommandReconfigure {
		command.Deadline = sim.now + 2*time.Second
	}
	sim.pending[command.ID] = sim.recordHistory(command, done)
	sim.processReady(r, r.proposer.Enqueue(command, sim.now))
}
