package consensus

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

func memberSet(memberIDs ...int) (out []config.Member) {
	for _, s := range memberIDs {
		out = append(out, config.Member{MemberID: s, DiskID: uint64(100 + s)})
	}
	return out
}

// addReplies are votes from slots that hold a word under a mark with its sets.
func addReplies(replies map[int]Reply, position Position, sets MemberSets, memberIDs ...int) map[int]Reply {
	for _, s := range memberIDs {
		replies[s] = Reply{Sender: Sender{MemberID: s, Incarnation: 1, DiskID: uint64(100 + s)}, Phase: PhaseEstablished, Position: position, MemberSets: sets}
	}
	return replies
}

// Votes are complete once they are majorities of both sets of the highest word among
// them, whatever set was asked.
func TestHasReadQuorum(t *testing.T) {
	old, grown := MemberSets{Current: memberSet(1, 2, 3)}, MemberSets{Current: memberSet(1, 2, 3, 4), Previous: memberSet(1, 2, 3)}
	moved := MemberSets{Current: memberSet(3, 4, 5), Previous: memberSet(3, 4, 2)}
	low, high := Position{1, 1}, Position{1, 2}
	for _, c := range []struct {
		name  string
		votes map[int]Reply
		want  bool
	}{
		{"a majority of the old", addReplies(map[int]Reply{}, low, old, 1, 2), true},
		{"a minority", addReplies(map[int]Reply{}, low, old, 1), false},
		{"one tells of the grown set", addReplies(addReplies(map[int]Reply{}, low, old, 1), high, grown, 2), false},
		{"majorities of both", addReplies(addReplies(map[int]Reply{}, low, old, 1), high, grown, 2, 4), true},
		{"of the new only", addReplies(map[int]Reply{}, high, moved, 4, 5), false},
		{"of both moved", addReplies(map[int]Reply{}, high, moved, 3, 4), true},
		{"none", map[int]Reply{}, false},
	} {
		if got := HasReadQuorum(CurrentReplies(c.votes), old); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	// Another disk in a member's slot is no member.
	v := addReplies(map[int]Reply{}, low, old, 1, 2)
	reply := v[2]
	reply.Sender.DiskID = 7
	v[2] = reply
	if HasReadQuorum(v, old) {
		t.Error("a stranger was counted")
	}
}

// Only one change stands at a time, decided on the set in force, and no slot number
// comes again.
func TestReconfigurationNeedsBothMajorities(t *testing.T) {
	now := memberSet(1, 2, 3)
	come := Command{Kind: CommandReconfigure, Joining: config.Member{MemberID: 4, DiskID: 104}, ExpectedMembers: now}
	state := applyReconfiguration(config.ControlState{Revision: 1}, now, come)
	if len(state.Members) != 4 || len(state.PreviousMembers) != 3 || state.HighestMemberID != 4 {
		t.Errorf("%+v", state)
	}
	swap := Command{Kind: CommandReconfigure, Joining: config.Member{MemberID: 5, DiskID: 105}, Leaving: 2, ExpectedMembers: state.Members}
	x := applyReconfiguration(finalizeReconfiguration(state), state.Members, swap)
	if s := MemberIDs(x.Members); len(s) != 4 || s[1] != 3 || s[3] != 5 || len(x.PreviousMembers) != 4 || x.HighestMemberID != 5 {
		t.Errorf("%+v", x)
	}
	if y := applyReconfiguration(x, x.Members, Command{Kind: CommandPutConfiguration}); len(y.PreviousMembers) != 0 || len(y.Members) != 4 {
		t.Errorf("%+v", y)
	}
	for _, c := range []struct {
		name string
		held config.ControlState
		now  []config.Member
		o    Command
		want Outcome
	}{
		{"to be done", config.ControlState{}, now, come, ""},
		{"done", state, state.Members, come, OutcomeCommitted},
		{"decided on another set", x, x.Members, replaceCommand(come, now, 6), OutcomeRejected},
		{"a slot used before", config.ControlState{Members: now, HighestMemberID: 4}, now, come, OutcomeRejected},
		{"the last one", config.ControlState{}, memberSet(1), Command{Kind: CommandReconfigure, Leaving: 1, ExpectedMembers: memberSet(1)}, OutcomeRejected},
		{"another order", config.ControlState{}, now, Command{Kind: CommandPutConfiguration}, ""},
	} {
		result, done := resolveReconfiguration(c.held, c.now, c.o)
		if done != (c.want != "") || done && result.Outcome != c.want {
			t.Errorf("%s: %v %v", c.name, result.Outcome, done)
		}
	}
}

func replaceCommand(command Command, of []config.Member, memberID int) Command {
	command.ExpectedMembers, command.Joining.MemberID, command.Joining.DiskID = of, memberID, uint64(100+memberID)
	return command
}

// No two slots ever get one epoch, whatever each has heard of.
func TestTermsSurviveReconfiguration(t *testing.T) {
	for _, founded := range []int{0, 3} {
		seen := map[uint64]int{}
		for memberID := 1; memberID <= 3; memberID++ {
			known := uint64(0)
			for range 100 {
				known = nextTerm(known, memberID, founded)
				if s, ok := seen[known]; ok {
					t.Fatalf("slots %d and %d both have %d", s, memberID, known)
				}
				seen[known] = memberID
			}
		}
	}
}

// An empty disk is a founder at the first start only, and what the disk says wins over
// later settings. Without a seat it votes, and has its seat by the word that names it.
func TestBootstrap(t *testing.T) {
	founders := []string{"a", "b", "c"}
	open := func() StateStore {
		v, err := storage.Open(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		return StateStore{Store: v}
	}
	load := func(store *StateStore, bootstrap Bootstrap) Acceptor {
		acceptor, err := store.Load(bootstrap)
		if err != nil {
			t.Fatal(err)
		}
		return acceptor
	}
	store := open()
	b := load(&store, Bootstrap{NewCluster: true, InitialMembers: founders, AdvertiseAddr: "b"})
	if b.Phase != PhaseEstablished || b.Self.MemberID != 2 || !b.IsMember() || len(b.MemberSets().Current) != 3 {
		t.Errorf("the founder: %+v", b)
	}
	again := load(&store, Bootstrap{NewCluster: true, InitialMembers: []string{"x"}, AdvertiseAddr: "x"})
	if again.Self != b.Self || len(again.MemberSets().Current) != 3 || !again.IsMember() {
		t.Errorf("the founder, started again: %+v", again)
	}
	for _, bootstrap := range []Bootstrap{{InitialMembers: founders, AdvertiseAddr: "b"}, {NewCluster: true, InitialMembers: founders, AdvertiseAddr: "z"}, {}} {
		store := open()
		if acceptor := load(&store, bootstrap); acceptor.Phase != PhaseJoining || acceptor.Self.MemberID != 0 || acceptor.IsMember() {
			t.Errorf("%+v: %+v", bootstrap, acceptor)
		}
	}
	store = open()
	acceptor := load(&store, Bootstrap{})
	state := config.ControlState{Revision: 1, Members: []config.Member{{MemberID: 1, DiskID: 7}, {MemberID: 4, DiskID: acceptor.Self.DiskID}}, PreviousMembers: []config.Member{{MemberID: 1, DiskID: 7}}, HighestMemberID: 4}
	position := Position{Term: termStride + 1, Revision: 1}
	acceptor, reply := acceptor.Step(Message{Type: MsgAccept, Term: position.Term, Position: position, State: state})
	if !reply.Granted || reply.Sender.MemberID != 4 || acceptor.Phase != PhaseJoining {
		t.Errorf("asked to be in: %+v", reply)
	}
	if err := store.Save(acceptor); err != nil {
		t.Fatal(err)
	}
	acceptor = load(&store, Bootstrap{})
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: position, State: state})
	if acceptor.Phase != PhaseEstablished || !acceptor.IsMember() || acceptor.Removed() {
		t.Errorf("settled: %+v", acceptor)
	}
	x := state
	x.Revision, x.Members, x.PreviousMembers = 2, state.Members[:1], state.Members
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: Position{position.Term, 2}, State: x})
	if acceptor.Removed() || acceptor.IsMember() {
		t.Errorf("goes before the change is sealed: %+v", acceptor)
	}
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: Position{position.Term, 3}, State: finalizeReconfiguration(x)})
	if !acceptor.Removed() {
		t.Errorf("struck: %+v", acceptor)
	}
	if f := acceptor.Rejoining(99); f.Phase != PhaseJoining || f.Self.MemberID != 0 || f.Position != acceptor.Position {
		t.Errorf("afresh: %+v", f)
	}
}
