package modelcheck

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// recordProposal checks and records a proposal: each term has one proposer, and each position has
// one state. It also records the state of a commit message as committed.
func (s *state) recordProposal(at int, message consensus.Message) {
	if message.Type == consensus.MsgCommit {
		s.recordCommit(message.Position.Revision, message.State)
	}
	if message.Type != consensus.MsgAccept {
		return
	}
	proposed := proposal{position: message.Position, node: at, state: stateDigest(message.State)}
	for _, other := range s.proposals {
		if other.position.Term == proposed.position.Term && other.node != proposed.node {
			s.violate("two proposers in term %d", proposed.position.Term)
		}
		if other.position == proposed.position && other.state != proposed.state {
			s.violate("two states at position %v", proposed.position)
		}
	}
	if !slices.Contains(s.proposals, proposed) {
		s.proposals = append(slices.Clone(s.proposals), proposed)
		slices.SortFunc(s.proposals, func(a, b proposal) int { return a.position.Compare(b.position) })
	}
}

// stateDigest returns the digest of a control state.
func stateDigest(controlState config.ControlState) digest {
	return digestOf(consensus.AppendControlState(nil, controlState))
}

// recordIfCommitted records the state of an acceptor if the acceptor considers it committed.
func (s *state) recordIfCommitted(acceptor consensus.Acceptor) {
	if acceptor.Committed != 0 && acceptor.Committed == acceptor.Position.Revision {
		s.recordCommit(acceptor.Committed, acceptor.State)
	}
}

// recordCommit checks and records a state that a node considers committed: each revision has one
// committed state.
func (s *state) recordCommit(revision uint64, controlState config.ControlState) {
	digest := stateDigest(controlState)
	old, ok := s.committed[revision]
	switch {
	case ok && old != digest:
		s.violate("two states committed at revision %d", revision)
	case !ok:
		s.committed = maps.Clone(s.committed)
		s.committed[revision] = digest
	}
}

// recordResult checks and records the result of a command.
func (s *state) recordResult(result consensus.CommandResult) {
	command := s.scenario.Commands[result.ID-1]
	s.results = append(s.results, command.Name+" "+string(result.Outcome))
	if result.Outcome != consensus.OutcomeCommitted {
		s.checkRefusal(command, result)
		return
	}
	s.recordCommit(result.State.Revision, result.State)
	ack := acknowledgement{generation: command.Generation, revision: result.State.Revision, digest: command.Text}
	for _, other := range s.acknowledged {
		if ack.generation != 0 && other.generation == ack.generation && other.digest != ack.digest {
			s.violate("generation %d was acknowledged with both %q and %q", ack.generation, other.digest, ack.digest)
		}
	}
	if command.Generation != 0 && result.State.Generation == command.Generation && !bytes.Equal(result.State.Configuration, []byte(command.Text)) {
		s.violate("generation %d was acknowledged with %q, but %q is in force", command.Generation, command.Text, result.State.Configuration)
	}
	s.acknowledged = append(slices.Clone(s.acknowledged), ack)
	slices.SortFunc(s.acknowledged, func(a, b acknowledgement) int { return bytes.Compare([]byte(fmt.Sprint(a)), []byte(fmt.Sprint(b))) })
}

// checkRefusal checks that a command that was not committed does not repeat an acknowledged
// configuration. The outcome "conflict" is exempt: it says that the generation has another
// configuration.
func (s *state) checkRefusal(command Command, result consensus.CommandResult) {
	if command.Generation == 0 || result.Outcome == consensus.OutcomeConflict {
		return
	}
	for _, other := range s.acknowledged {
		if other.generation == command.Generation && other.digest == command.Text {
			s.violate("generation %d with %q was acknowledged, but its repetition got the outcome %s", other.generation, other.digest, result.Outcome)
		}
	}
}

// violate records a violation, unless one was recorded before.
func (s *state) violate(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}
