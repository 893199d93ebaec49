package consensus

import (
	"slices"
	"testing"
	"time"

	"curlewwalk/internal/config"
)

// establishedAcceptor is an acceptor of a set that holds a word.
func establishedAcceptor(memberID int, position Position, state config.ControlState) Acceptor {
	return Acceptor{Self: Sender{MemberID: memberID, Incarnation: 1, DiskID: uint64(100 + memberID)}, Phase: PhaseEstablished, Promised: position.Term, Position: position, State: state, Committed: position.Revision, InitialMembers: memberSet(1, 2, 3)}
}

// A proposer that was left behind asks those of each set that it hears of, and proposes
// nothing before majorities of the newest have promised.
func TestPrepareExtendsToPreviousMembers(t *testing.T) {
	first := config.ControlState{Revision: 1, Configuration: []byte("old")}
	second := config.ControlState{Revision: 3, Configuration: []byte("old"), Members: memberSet(2, 3, 4), HighestMemberID: 4}
	third := config.ControlState{Revision: 6, Configuration: []byte("new"), Members: memberSet(3, 4, 5), HighestMemberID: 5}
	acceptors := map[int]Acceptor{1: establishedAcceptor(1, Position{10, 1}, first), 2: establishedAcceptor(2, Position{10, 3}, second)}
	for s := 3; s <= 5; s++ {
		acceptors[s] = establishedAcceptor(s, Position{11, 6}, third)
	}
	p := &Proposer{}
	p.FollowAcceptor(acceptors[1], 0)
	readies := p.Enqueue(Command{ID: 1, Kind: CommandRefresh, Deadline: time.Minute}, time.Second)
	asked := []int{}
	give := func(memberIDs ...int) {
		message := readies[0].Message
		readies = nil
		for _, s := range memberIDs {
			next, reply := acceptors[s].Step(*message)
			acceptors[s] = next
			readies = append(readies, p.HandleReply(reply, time.Second)...)
		}
		for _, ready := range readies {
			asked = append(asked, MemberIDs(ready.To)...)
			if ready.Message.Type == MsgAccept && !slices.Contains(asked, 5) {
				t.Fatalf("proposes %q before it has heard of the newest set", ready.Message.State.Configuration)
			}
		}
	}
	give(1, 2) // a majority of the set that it knows of
	if p.phase != proposerPreparing || !slices.Equal(asked, []int{4}) {
		t.Fatalf("phase %d, asked %v", p.phase, asked)
	}
	give(4)
	if p.phase != proposerPreparing || !slices.Contains(asked, 5) {
		t.Fatalf("phase %d, asked %v", p.phase, asked)
	}
	give(5)
	if p.phase != proposerAccepting || string(p.proposal.state.Configuration) != "new" {
		t.Fatalf("phase %d, proposes %q", p.phase, p.proposal.state.Configuration)
	}
}

// A settled change is sealed by the next word at once, and nothing is proposed before
// those that it needs have answered.
func TestReconfigurationIsFinalized(t *testing.T) {
	acceptors := map[int]Acceptor{}
	for s := 1; s <= 3; s++ {
		acceptors[s] = Acceptor{Self: Sender{MemberID: s, Incarnation: 1, DiskID: uint64(100 + s)}, Phase: PhaseEstablished, InitialMembers: memberSet(1, 2, 3)}
	}
	acceptors[4] = Acceptor{Self: Sender{DiskID: 104}, Phase: PhaseJoining}
	run := func(up ...int) (result CommandResult) {
		p := &Proposer{}
		now := time.Second
		p.FollowAcceptor(acceptors[1], now)
		readies := p.Enqueue(Command{ID: 1, Kind: CommandReconfigure, Joining: memberSet(4)[0], ExpectedMembers: memberSet(1, 2, 3), Deadline: time.Minute}, now)
		for range 1000 {
			if len(readies) == 0 {
				if result.ID != 0 {
					return result
				}
				now += 100 * time.Millisecond
				readies = p.Tick(now)
				continue
			}
			ready := readies[0]
			readies = readies[1:]
			if ready.Result != nil {
				result = *ready.Result
			}
			for _, m := range ready.To {
				if slices.Contains(up, m.MemberID) {
					next, reply := acceptors[m.MemberID].Step(*ready.Message)
					acceptors[m.MemberID] = next
					if reply := reply.FromMember(m); reply != nil {
						readies = append(readies, p.HandleReply(*reply, now)...)
					}
				}
			}
		}
		t.Fatal("it does not come to an end")
		return result
	}
	if result := run(1, 2, 3); result.Outcome != OutcomeRejected || acceptors[1].Position != (Position{}) {
		t.Errorf("without the newcomer: %s, %+v", result.Outcome, acceptors[1].Position)
	}
	if result := run(1, 2, 3, 4); result.Outcome != OutcomeCommitted {
		t.Errorf("with it: %s", result.Outcome)
	}
	for s, acceptor := range acceptors {
		if state := acceptor.State; state.Revision != 2 || len(state.PreviousMembers) != 0 || len(state.Members) != 4 || !acceptor.IsMember() {
			t.Errorf("%d holds %+v", s, state)
		}
	}
}

// A change that does not fit what the proposer holds is judged under a new epoch: what it
// holds may have been overtaken.
func TestReconfigurationOnSupersededState(t *testing.T) {
	acceptor := establishedAcceptor(1, Position{}, config.ControlState{})
	acceptor.InitialMembers = memberSet(1)
	p := &Proposer{}
	now := time.Second
	p.FollowAcceptor(acceptor, now)
	run := func(readies []Ready) (last Outcome) {
		for len(readies) > 0 {
			ready := readies[0]
			readies = readies[1:]
			if ready.Result != nil {
				last = ready.Result.Outcome
			}
			if len(ready.To) > 0 && ready.To[0].MemberID == 1 {
				var reply Reply
				acceptor, reply = acceptor.Step(*ready.Message)
				readies = append(readies, p.HandleReply(reply, now)...)
			}
		}
		return last
	}
	if got := run(p.Enqueue(Command{ID: 1, Kind: CommandPutConfiguration, Payload: []byte("a"), Deadline: time.Minute}, now)); got != OutcomeCommitted {
		t.Fatal(got)
	}
	// Another proposer has struck slot 2 of a set that this one never heard of.
	state := acceptor.State
	state.Revision, state.Members, state.HighestMemberID = 5, memberSet(1), 2
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: 1 << 20, Position: Position{1 << 20, 5}, State: state})
	p.FollowAcceptor(acceptor, now)
	now += time.Second
	p.Enqueue(Command{ID: 2, Kind: CommandReconfigure, Leaving: 1, ExpectedMembers: memberSet(1, 2), Deadline: time.Minute}, now)
	if p.phase != proposerPreparing {
		t.Error("judged by a word that was overtaken")
	}
}

// The word that seals a change is brought to its end though time passes before its votes
// come and no order waits; but not for ever, if no majority votes.
func TestFinalizationOutlastsTicks(t *testing.T) {
	for _, answered := range []bool{true, false} {
		acceptors := map[int]Acceptor{}
		for s := 1; s <= 4; s++ {
			acceptors[s] = Acceptor{Self: Sender{MemberID: s, Incarnation: 1, DiskID: uint64(100 + s)}, Phase: PhaseEstablished, InitialMembers: memberSet(1, 2, 3, 4)}
		}
		p := &Proposer{}
		now := time.Second
		p.FollowAcceptor(acceptors[1], now)
		readies := p.Enqueue(Command{ID: 1, Kind: CommandReconfigure, Leaving: 4, ExpectedMembers: memberSet(1, 2, 3, 4), Deadline: time.Minute}, now)
		sealed, settled := false, false
		for len(readies) > 0 {
			ready := readies[0]
			readies = readies[1:]
			if ready.Message == nil {
				continue
			}
			settled = settled || ready.Message.Type == MsgCommit && ready.Message.Position.Revision == 2
			if ready.Message.Type == MsgAccept && ready.Message.Position.Revision == 2 && !sealed {
				sealed = true
				now += 10 * time.Millisecond
				readies = append(readies, p.Tick(now)...)
			}
			for _, m := range ready.To {
				if sealed && !answered {
					continue
				}
				next, reply := acceptors[m.MemberID].Step(*ready.Message)
				acceptors[m.MemberID] = next
				readies = append(readies, p.HandleReply(reply, now)...)
			}
		}
		if !sealed || settled != answered {
			t.Errorf("votes come %v: seal proposed %v, settled %v", answered, sealed, settled)
		}
		p.Tick(now + finishTimeout)
		if p.phase != proposerIdle {
			t.Errorf("votes come %v: still in phase %d after %v", answered, p.phase, finishTimeout)
		}
	}
}
