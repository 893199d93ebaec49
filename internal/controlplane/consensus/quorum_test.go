package consensus

import (
	"testing"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
)

func memberSet(memberIDs ...int) (out []config.Member) {
	for _, id := range memberIDs {
		out = append(out, config.Member{MemberID: id, DiskID: uint64(100 + id)})
	}
	return out
}

// addReplies adds the replies of members that hold a state under a position, with its member
// sets.
func addReplies(replies map[int]Reply, position Position, sets MemberSets, memberIDs ...int) map[int]Reply {
	for _, id := range memberIDs {
		replies[id] = Reply{Sender: Sender{MemberID: id, Incarnation: 1, DiskID: uint64(100 + id)}, Phase: PhaseEstablished, Position: position, MemberSets: sets}
	}
	return replies
}

// Replies are a read quorum once they are majorities of both member sets of the highest state
// among them, whatever set was asked.
func TestHasReadQuorum(t *testing.T) {
	old, grown := MemberSets{Current: memberSet(1, 2, 3)}, MemberSets{Current: memberSet(1, 2, 3, 4), Previous: memberSet(1, 2, 3)}
	moved := MemberSets{Current: memberSet(3, 4, 5), Previous: memberSet(3, 4, 2)}
	low, high := Position{1, 1}, Position{1, 2}
	for _, c := range []struct {
		name    string
		replies map[int]Reply
		want    bool
	}{
		{"a majority of the old", addReplies(map[int]Reply{}, low, old, 1, 2), true},
		{"a minority", addReplies(map[int]Reply{}, low, old, 1), false},
		{"one knows the grown set", addReplies(addReplies(map[int]Reply{}, low, old, 1), high, grown, 2), false},
		{"majorities of both", addReplies(addReplies(map[int]Reply{}, low, old, 1), high, grown, 2, 4), true},
		{"of the new only", addReplies(map[int]Reply{}, high, moved, 4, 5), false},
		{"of both moved", addReplies(map[int]Reply{}, high, moved, 3, 4), true},
		{"none", map[int]Reply{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := HasReadQuorum(CurrentReplies(c.replies), old); got != c.want {
				t.Error(got)
			}
		})
	}
	// Another disk under a member's ID is no member.
	replies := addReplies(map[int]Reply{}, low, old, 1, 2)
	reply := replies[2]
	reply.Sender.DiskID = 7
	replies[2] = reply
	if HasReadQuorum(replies, old) {
		t.Error("a stranger was counted")
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

// No two members ever get the same term, whatever each of them knows.
func TestTermsSurviveReconfiguration(t *testing.T) {
	for _, staticSize := range []int{0, 3} {
		seen := map[uint64]int{}
		for memberID := 1; memberID <= 3; memberID++ {
			term := uint64(0)
			for range 100 {
				term = nextTerm(term, memberID, staticSize)
				if id, ok := seen[term]; ok {
					t.Fatalf("members %d and %d both have term %d", id, memberID, term)
				}
				seen[term] = memberID
			}
		}
	}
}

// An empty disk is an initial member at the first start only, and what the disk says wins over
// later settings. A joining acceptor grants messages, and is a member by the state that names
// it.
func TestBootstrap(t *testing.T) {
	initialMembers := []string{"a", "b", "c"}
	open := func() *stateStore {
		disk, err := storage.Open(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		return newStateStore(disk)
	}
	load := func(store *stateStore, bootstrap Bootstrap) Acceptor {
		acceptor, err := store.load(bootstrap)
		if err != nil {
			t.Fatal(err)
		}
		return acceptor
	}
	store := open()
	initial := load(store, Bootstrap{NewCluster: true, InitialMembers: initialMembers, AdvertiseAddr: "b"})
	if initial.Phase != PhaseEstablished || initial.Self.MemberID != 2 || !initial.IsMember() || len(initial.MemberSets().Current) != 3 {
		t.Errorf("the initial member: %+v", initial)
	}
	reloaded := load(store, Bootstrap{NewCluster: true, InitialMembers: []string{"x"}, AdvertiseAddr: "x"})
	if reloaded.Self != initial.Self || len(reloaded.MemberSets().Current) != 3 || !reloaded.IsMember() {
		t.Errorf("the initial member, restarted: %+v", reloaded)
	}
	for _, bootstrap := range []Bootstrap{{InitialMembers: initialMembers, AdvertiseAddr: "b"}, {NewCluster: true, InitialMembers: initialMembers, AdvertiseAddr: "z"}, {}} {
		store := open()
		if acceptor := load(store, bootstrap); acceptor.Phase != PhaseJoining || acceptor.Self.MemberID != 0 || acceptor.IsMember() {
			t.Errorf("%+v: %+v", bootstrap, acceptor)
		}
	}
	store = open()
	acceptor := load(store, Bootstrap{})
	state := config.ControlState{Revision: 1, Members: []config.Member{{MemberID: 1, DiskID: 7}, {MemberID: 4, DiskID: acceptor.Self.DiskID}}, PreviousMembers: []config.Member{{MemberID: 1, DiskID: 7}}, HighestMemberID: 4}
	position := Position{Term: termStride + 1, Revision: 1}
	acceptor, reply := acceptor.Step(Message{Type: MsgAccept, Term: position.Term, Position: position, State: state})
	if !reply.Granted || reply.Sender.MemberID != 4 || acceptor.Phase != PhaseJoining {
		t.Errorf("named by a proposal: %+v", reply)
	}
	if err := store.save(acceptor); err != nil {
		t.Fatal(err)
	}
	acceptor = load(store, Bootstrap{})
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: position, State: state})
	if acceptor.Phase != PhaseEstablished || !acceptor.IsMember() || acceptor.Removed() {
		t.Errorf("named by a committed state: %+v", acceptor)
	}
	removal := state
	removal.Revision, removal.Members, removal.PreviousMembers = 2, state.Members[:1], state.Members
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: Position{position.Term, 2}, State: removal})
	if acceptor.Removed() || acceptor.IsMember() {
		t.Errorf("removed before the reconfiguration is finalized: %+v", acceptor)
	}
	acceptor, _ = acceptor.Step(Message{Type: MsgCommit, Term: position.Term, Position: Position{position.Term, 3}, State: finalizeReconfiguration(removal)})
	if !acceptor.Removed() {
		t.Errorf("not removed: %+v", acceptor)
	}
	if rejoining := acceptor.Rejoining(99); rejoining.Phase != PhaseJoining || rejoining.Self.MemberID != 0 || rejoining.Position != acceptor.Position {
		t.Errorf("rejoining: %+v", rejoining)
	}
}
