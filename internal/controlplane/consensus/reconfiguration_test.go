package consensus

import (
	"slices"
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// establishedAcceptor returns an acceptor of a cluster of three initial members that holds a
// state.
func establishedAcceptor(memberID int, position Position, state config.ControlState) Acceptor {
	return Acceptor{Self: Sender{MemberID: memberID, Incarnation: 1, DiskID: uint64(100 + memberID)}, Phase: PhaseEstablished, Promised: position.Term, Position: position, State: state, Committed: position.Revision, InitialMembers: memberSet(1, 2, 3)}
}

// A proposer whose member set is outdated sends its prepare messages to the members of each set
// that the replies list. It proposes nothing before majorities of the newest sets have
// promised.
func TestPrepareExtendsToPreviousMembers(t *testing.T) {
	first := config.ControlState{Revision: 1, Configuration: []byte("old")}
	second := config.ControlState{Revision: 3, Configuration: []byte("old"), Members: memberSet(2, 3, 4), HighestMemberID: 4}
	third := config.ControlState{Revision: 6, Configuration: []byte("new"), Members: memberSet(3, 4, 5), HighestMemberID: 5}
	acceptors := map[int]Acceptor{1: establishedAcceptor(1, Position{10, 1}, first), 2: establishedAcceptor(2, Position{10, 3}, second)}
	for id := 3; id <= 5; id++ {
		acceptors[id] = establishedAcceptor(id, Position{11, 6}, third)
	}
	p := &Proposer{}
	p.FollowAcceptor(acceptors[1], 0)
	items := p.Enqueue(Command{ID: 1, Kind: CommandRefresh, Deadline: time.Minute}, time.Second)
	recipients := []int{}
	deliver := func(memberIDs ...int) {
		message := items[0].Message
		items = nil
		for _, id := range memberIDs {
			next, reply := acceptors[id].Step(*message)
			acceptors[id] = next
			items = append(items, p.HandleReply(reply, time.Second)...)
		}
		for _, item := range items {
			recipients = append(recipients, MemberIDs(item.To)...)
			if item.Message.Type == MsgAccept && !slices.Contains(recipients, 5) {
				t.Fatalf("proposes %q before it has asked the newest set", item.Message.State.Configuration)
			}
		}
	}
	deliver(1, 2) // a majority of the set known to the proposer
	if p.phase != proposerPreparing || !slices.Equal(recipients, []int{4}) {
		t.Fatalf("phase %d, additional recipients %v; want preparing and member 4", p.phase, recipients)
	}
	deliver(4)
	if p.phase != proposerPreparing || !slices.Contains(recipients, 5) {
		t.Fatalf("phase %d, additional recipients %v; want preparing and member 5 included", p.phase, recipients)
	}
	deliver(5)
	if p.phase != proposerAccepting || string(p.proposal.state.Configuration) != "new" {
		t.Fatalf("phase %d, proposal %q; want accepting and the new configuration", p.phase, p.proposal.state.Configuration)
	}
}

// A committed reconfiguration is finalized by the next state immediately. The reconfiguration
// is not proposed before the members that it needs have answered.
func TestReconfigurationIsFinalized(t *testing.T) {
	acceptors := map[int]Acceptor{}
	for id := 1; id <= 3; id++ {
		acceptors[id] = Acceptor{Self: Sender{MemberID: id, Incarnation: 1, DiskID: uint64(100 + id)}, Phase: PhaseEstablished, InitialMembers: memberSet(1, 2, 3)}
	}
	acceptors[4] = Acceptor{Self: Sender{DiskID: 104}, Phase: PhaseJoining}
	run := func(up ...int) (result CommandResult) {
		p := &Proposer{}
		now := time.Second
		p.FollowAcceptor(acceptors[1], now)
		items := p.Enqueue(Command{ID: 1, Kind: CommandReconfigure, Joining: memberSet(4)[0], ExpectedMembers: memberSet(1, 2, 3), Deadline: time.Minute}, now)
		for range 1000 {
			if len(items) == 0 {
				if result.ID != 0 {
					return result
				}
				now += 100 * time.Millisecond
				items = p.Tick(now)
				continue
			}
			item := items[0]
			items = items[1:]
			if item.Result != nil {
				result = *item.Result
			}
			for _, m := range item.To {
				if slices.Contains(up, m.MemberID) {
					next, reply := acceptors[m.MemberID].Step(*item.Message)
					acceptors[m.MemberID] = next
					if reply := reply.FromMember(m); reply != nil {
						items = append(items, p.HandleReply(*reply, now)...)
					}
				}
			}
		}
		t.Fatal("the reconfiguration does not end")
		return result
	}
	if result := run(1, 2, 3); result.Outcome != OutcomeRejected || acceptors[1].Position != (Position{}) {
		t.Errorf("without the joining member: outcome %s, position %+v; want rejected and no proposal", result.Outcome, acceptors[1].Position)
	}
	if result := run(1, 2, 3, 4); result.Outcome != OutcomeCommitted {
		t.Errorf("with the joining member: outcome %s, want committed", result.Outcome)
	}
	for id, acceptor := range acceptors {
		if state := acceptor.State; state.Revision != 2 || len(state.PreviousMembers) != 0 || len(state.Members) != 4 || !acceptor.IsMember() {
			t.Errorf("state of acceptor %d = %+v, want revision 2 with four members and no previous set", id, state)
		}
	}
}

// A reconfiguration that does not match the base is resolved only under a new term, since the
// base may have been superseded.
func TestReconfigurationOnSupersededState(t *testing.T) {
	acceptor := establishedAcceptor(1, Position{}, config.ControlState{})
	acceptor.InitialMembers = memberSet(1)
	p := &Proposer{}
	now := time.Second
	p.FollowAcceptor(acceptor, now)
	run := func(items []Ready) (last Outcome) {
		for len(items) > 0 {
			item := items[0]
			items = items[1:]
			if item.Result != nil {
				last = item.Result.Outcome
			}
			if len(item.To) > 0 && item.To[0].MemberID == 1 {
				var reply Reply
				acceptor, reply = acceptor.Step(*item.Message)
				items = append(items, p.HandleReply(reply, now)...)
			}
		}
		return last
	}
	if got := run(p.Enqueue(Command{ID: 1, Kind: CommandPutConfiguration, Payload: []byte("a"), Deadline: time.Minute}, now)); got != OutcomeCommitted {
		t.Fatal(got)
	}
	// Another proposer has removed member 2 from a set that this proposer has never seen.
	state := acceptor.State
	state.Revision, state.Members, state.HighestMemberID = 5, memberSet(1), 2
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: 1 << 20, Position: Position{1 << 20, 5}, State: state})
	p.FollowAcceptor(acceptor, now)
	now += time.Second
	p.Enqueue(Command{ID: 2, Kind: CommandReconfigure, Leaving: 1, ExpectedMembers: memberSet(1, 2), Deadline: time.Minute}, now)
	if p.phase != proposerPreparing {
		t.Error("resolved on a superseded state, want a new prepare phase")
	}
}

// The state that finalizes a reconfiguration is committed even if ticks occur before its
// replies arrive and no command is waiting. The attempt ends after finishTimeout if no majority
// replies.
func TestFinalizationOutlastsTicks(t *testing.T) {
	for _, answered := range []bool{true, false} {
		acceptors := map[int]Acceptor{}
		for id := 1; id <= 4; id++ {
			acceptors[id] = Acceptor{Self: Sender{MemberID: id, Incarnation: 1, DiskID: uint64(100 + id)}, Phase: PhaseEstablished, InitialMembers: memberSet(1, 2, 3, 4)}
		}
		p := &Proposer{}
		now := time.Second
		p.FollowAcceptor(acceptors[1], now)
		items := p.Enqueue(Command{ID: 1, Kind: CommandReconfigure, Leaving: 4, ExpectedMembers: memberSet(1, 2, 3, 4), Deadline: time.Minute}, now)
		finalizing, committed := false, false
		for len(items) > 0 {
			item := items[0]
			items = items[1:]
			if item.Message == nil {
				continue
			}
			committed = committed || item.Message.Type == MsgCommit && item.Message.Position.Revision == 2
			if item.Message.Type == MsgAccept && item.Message.Position.Revision == 2 && !finalizing {
				finalizing = true
				now += 10 * time.Millisecond
				items = append(items, p.Tick(now)...)
			}
			for _, m := range item.To {
				if finalizing && !answered {
					continue
				}
				next, reply := acceptors[m.MemberID].Step(*item.Message)
				acceptors[m.MemberID] = next
				items = append(items, p.HandleReply(reply, now)...)
			}
		}
		if !finalizing || committed != answered {
			t.Errorf("replies delivered %v: finalization proposed %v, committed %v; want proposed, and committed only if delivered", answered, finalizing, committed)
		}
		p.Tick(now + finishTimeout)
		if p.phase != proposerIdle {
			t.Errorf("replies delivered %v: still in phase %d after %v, want idle", answered, p.phase, finishTimeout)
		}
	}
}

// Only one reconfiguration is in effect at a time. It must be planned on the current set, and
// no member ID is reused.
func TestReconfigurationNeedsBothMajorities(t *testing.T) {
	current := memberSet(1, 2, 3)
	join := Command{Kind: CommandReconfigure, Joining: config.Member{MemberID: 4, DiskID: 104}, ExpectedMembers: current}
	state := applyReconfiguration(config.ControlState{Revision: 1}, current, join)
	if len(state.Members) != 4 || len(state.PreviousMembers) != 3 || state.HighestMemberID != 4 {
		t.Errorf("state after the join = %+v, want four members and three previous ones", state)
	}
	swap := Command{Kind: CommandReconfigure, Joining: config.Member{MemberID: 5, DiskID: 105}, Leaving: 2, ExpectedMembers: state.Members}
	swapped := applyReconfiguration(finalizeReconfiguration(state), state.Members, swap)
	if s := MemberIDs(swapped.Members); len(s) != 4 || s[1] != 3 || s[3] != 5 || len(swapped.PreviousMembers) != 4 || swapped.HighestMemberID != 5 {
		t.Errorf("state after the replacement = %+v, want member 5 instead of 2 and four previous members", swapped)
	}
	if unchanged := applyReconfiguration(swapped, swapped.Members, Command{Kind: CommandPutConfiguration}); len(unchanged.PreviousMembers) != 0 || len(unchanged.Members) != 4 {
		t.Errorf("state after another command = %+v, want four members and no previous set", unchanged)
	}
	for _, c := range []struct {
		name    string
		base    config.ControlState
		current []config.Member
		command Command
		want    Outcome
	}{
		{"not in effect", config.ControlState{}, current, join, ""},
		{"already in effect", state, state.Members, join, OutcomeCommitted},
		{"planned on another set", swapped, swapped.Members, withExpectedMembers(join, current, 6), OutcomeRejected},
		{"a member ID used before", config.ControlState{Members: current, HighestMemberID: 4}, current, join, OutcomeRejected},
		{"removal of the last member", config.ControlState{}, memberSet(1), Command{Kind: CommandReconfigure, Leaving: 1, ExpectedMembers: memberSet(1)}, OutcomeRejected},
		{"command of another kind", config.ControlState{}, current, Command{Kind: CommandPutConfiguration}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			result, resolved := resolveReconfiguration(c.base, c.current, c.command)
			if resolved != (c.want != "") || resolved && result.Outcome != c.want {
				t.Errorf("outcome %v, resolved %v, which does not match the case", result.Outcome, resolved)
			}
		})
	}
}

// withExpectedMembers returns the command with another expected member set and another joining
// member.
func withExpectedMembers(command Command, expected []config.Member, memberID int) Command {
	command.ExpectedMembers, command.Joining.MemberID, command.Joining.DiskID = expected, memberID, uint64(100+memberID)
	return command
}
