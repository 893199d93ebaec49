package simulation

import (
	"bytes"
	"fmt"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// write puts a configuration at a replica that is up. About half of the configurations have a
// generation, and some of these arrive after a higher generation.
func (sim *Consensus) write() {
	r := sim.randomReplica()
	if !r.up || r.pausedUntil > sim.now || r.acceptor.Phase != consensus.PhaseEstablished {
		return
	}
	text := fmt.Appendf(nil, "configuration %d", sim.nextCommand+1)
	command := consensus.Command{Kind: consensus.CommandPutConfiguration, Payload: text}
	if sim.rng.IntN(2) == 0 {
		command.Generation = sim.highestGeneration + 1 + sim.rng.Uint64N(4)
		sim.highestGeneration = command.Generation
	}
	sim.submit(r, command, func(result consensus.CommandResult) {
		if result.Outcome != consensus.OutcomeCommitted {
			sim.Refused++
			return
		}
		sim.Acked++
		if superseded := command.Generation != 0 && result.State.Generation >= command.Generation; !bytes.Equal(result.State.Configuration, text) && result.State.ConfigurationRevision == result.State.Revision && !superseded {
			sim.violation("put of %q was acknowledged with configuration %q", text, result.State.Configuration)
		}
		if result.State.Generation < command.Generation {
			sim.violation("put of generation %d was acknowledged with generation %d", command.Generation, result.State.Generation)
		}
		sim.ackedGeneration = max(sim.ackedGeneration, command.Generation)
		sim.checkState(result.State, "an operator")
		sim.ackedRevision = max(sim.ackedRevision, result.State.Revision)
	})
}

// read reads the configuration by a quorum read. The result must not be older than any revision
// or generation that was acknowledged before the read began.
func (sim *Consensus) read() {
	r := sim.randomReplica()
	if !r.up || r.pausedUntil > sim.now {
		return
	}
	leastRevision, generation, began := sim.ackedRevision, sim.ackedGeneration, sim.now
	receive := func(state config.ControlState) {
		sim.Reads++
		sim.History.read(began, state, sim.now)
		sim.checkState(state, "a reader")
		if state.Revision < leastRevision {
			sim.violation("read returned revision %d after revision %d was acknowledged", state.Revision, leastRevision)
		}
		if state.Generation < generation {
			sim.violation("read returned generation %d after generation %d was acknowledged", state.Generation, generation)
		}
	}
	sim.quorumRead(r, consensus.MsgRead, func(_ uint64, state config.ControlState) { receive(state) })
}

// quorumRead sends MsgRead or MsgReadIndex from a replica to the members it knows, and calls
// receive with the newest committed revision once a quorum has replied. If the newest state is
// not known to be committed, an established replica commits it first. state is set only for
// MsgRead, or if the state had to be committed.
func (sim *Consensus) quorumRead(r *replica, kind consensus.MessageType, receive func(revision uint64, state config.ControlState)) {
	replies, done := map[int]consensus.Reply{}, false
	own := r.acceptor.MemberSets()
	sim.broadcast(r, consensus.Message{Sender: r.acceptor.Self, Type: kind}, false, replies, func(consensus.Reply) {
		counted := consensus.CurrentReplies(replies)
		if done || !consensus.HasReadQuorum(counted, own) {
			return
		}
		done = true
		if newest, committed := consensus.NewestState(counted, own); committed {
			receive(newest.Position.Revision, newest.State)
		} else if r.acceptor.Phase == consensus.PhaseEstablished {
			sim.submit(r, consensus.Command{Kind: consensus.CommandRefresh}, func(result consensus.CommandResult) {
				if result.Outcome == consensus.OutcomeCommitted {
					receive(result.State.Revision, result.State)
				}
			})
		}
	})
}
