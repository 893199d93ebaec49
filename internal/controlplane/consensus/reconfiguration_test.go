package consensus

import (
	"slices"
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// establishedAcceptor is an acceptor of three initial members that holds a state.
func establishedAcceptor(memberID int, position Position, state config.ControlState) Acceptor {
	return Acceptor{Self: Sender{MemberID: memberID, Incarnation: 1, DiskID: uint64(100 + memberID)}, Phase: PhaseEstablished, Promised: position.Term, Position: position, State: state, Committed: position.Revision, InitialMembers: memberSet(1, 2, 3)}
}

// A proposer that was left behind asks the members of each set that it learns of, and proposes
// nothing before majorities of the newest have promised.
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
				t.Fatalf("proposes %q before it knows the newest set", item.Message.State.Configuration)
			}
		}
	}
	deliver(1, 2) // a majority of the set that it knows
	if p.phase != proposerPreparing || !slices.Equal(recipients, []int{4}) {
		t.Fatalf("phase %d, asked %v", p.phase, recipients)
	}
	deliver(4)
	if p.phase != proposerPreparing || !slices.Contains(recipients, 5) {
		t.Fatalf("phase %d, asked %v", p.phase, recipients)
	}
	deliver(5)
	if p.phase != proposerAccepting || string(p.proposal.state.Configuration) != "new" {
		t.Fatalf("phase %d, proposes %q", p.phase, p.proposal.state.Configuration)
	}
}

// A committed reconfiguration is finalized by the next state at once, and nothing is proposed
// before the members that it needs have answered.
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
		t.Fatal("it does not come to an end")
		return result
	}
	if result := run(1, 2, 3); result.Outcome != OutcomeRejected || acceptors[1].Position != (Position{}) {
		t.Errorf("without the joining member: %s, %+v", result.Outcome, acceptors[1].Position)
	}
	if result := run(1, 2, 3, 4); result.Outcome != OutcomeCommitted {
		t.Errorf("with it: %s", result.Outcome)
	}
	for id, acceptor := range acceptors {
		if state := acceptor.State; state.Revision != 2 || len(state.PreviousMembers) != 0 || len(state.Members) != 4 || !acceptor.IsMember() {
			t.Errorf("%d holds %+v", id, state)
		}
	}
}

// A reconfiguration that does not fit the base is resolved under a new term: the base may have
// been superseded.
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
	// Another proposer has removed member 2 of a set that this one never knew.
	state := acceptor.State
	state.Revision, state.Members, state.HighestMemberID = 5, memberSet(1), 2
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: 1 << 20, Position: Position{1 << 20, 5}, State: state})
	p.FollowAcceptor(acceptor, now)
	now += time.Second
	p.Enqueue(Command{ID: 2, Kind: CommandReconfigure, Leaving: 1, ExpectedMembers: memberSet(1, 2), Deadline: time.Minute}, now)
	if p.phase != proposerPreparing {
		t.Error("resolved by a state that was superseded")
	}
}

// The state that finalizes a reconfiguration is committed though time passes before its replies
// come and no command waits; but the attempt ends if no majority replies.
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
			t.Errorf("replies come %v: finalization proposed %v, committed %v", answered, finalizing, committed)
		}
		p.Tick(now + finishTimeout)
		if p.phase != proposerIdle {
			t.Errorf("replies come %v: still in phase %d after %v", answered, p.phase, finishTimeout)
		}
	}
}

// Only one reconfiguration is in force at a time, decided on the current set, and no member ID
// is used again.
func TestReconfigurationNeedsBothMajorities(t *testing.T) {
	current := memberSet(1, 2, 3)
	join := Command{Kind: CommandReconfigure, Joining: config.Member{MemberID: 4, DiskID: 104}, ExpectedMembers: current}
	state := applyReconfiguration(config.ControlState{Revision: 1}, current, join)
	if len(state.Members) != 4 || len(state.PreviousMembers) != 3 || state.HighestMemberID != 4 {
		t.Errorf("%+v", state)
	}
	swap := Command{Kind: CommandReconfigure, Joining: config.Member{MemberID: 5, DiskID: 105}, Leaving: 2, ExpectedMembers: state.Members}
	swapped := applyReconfiguration(finalizeReconfiguration(state), state.Members, swap)
	if s := MemberIDs(swapped.Members); len(s) != 4 || s[1] != 3 || s[3] != 5 || len(swapped.PreviousMembers) != 4 || swapped.HighestMemberID != 5 {
		t.Errorf("%+v", swapped)
	}
	if unchanged := applyReconfiguration(swapped, swapped.Members, Command{Kind: CommandPutConfiguration}); len(unchanged.PreviousMembers) != 0 || len(unchanged.Members) != 4 {
		t.Errorf("%+v", unchanged)
	}
	for _, c := range []struct {
		name    string
		base    config.ControlState
		current []config.Member
		command Command
		want    Outcome
	}{
		{"to be done", config.ControlState{}, current, join, ""},
		{"done", state, state.Members, join, OutcomeCommitted},
		{"decided on another set", swapped, swapped.Members, replaceCommand(join, current, 6), OutcomeRejected},
		{"a member ID used before", config.ControlState{Members: current, HighestMemberID: 4}, current, join, OutcomeRejected},
		{"the last one", config.ControlState{}, memberSet(1), Command{Kind: CommandReconfigure, Leaving: 1, ExpectedMembers: memberSet(1)}, OutcomeRejected},
		{"another command", config.ControlState{}, current, Command{Kind: CommandPutConfiguration}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			result, resolved := resolveReconfiguration(c.base, c.current, c.command)
			if resolved != (c.want != "") || resolved && result.Outcome != c.want {
				t.Errorf("%v %v", result.Outcome, resolved)
			}
		})
	}
}

// replaceCommand is a command decided on another set, for another member.
func replaceCommand(command Command, of []config.Member, memberID int) Command {
	command.ExpectedMembers, command.Joining.MemberID, command.Joining.DiskID = of, memberID, uint64(100+memberID)
	return command
}
