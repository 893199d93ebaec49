package consensus

import (
	"testing"

	"curlewwalk/internal/config"
)

func memberSet(memberIDs ...int) (out []config.Member) {
	for _, id := range memberIDs {
		out = append(out, config.Member{MemberID: id, DiskID: uint64(100 + id)})
	}
	return out
}

// addReplies adds replies of members that hold a state at a position and with the given member
// sets.
func addReplies(replies map[int]Reply, position Position, sets MemberSets, memberIDs ...int) map[int]Reply {
	for _, id := range memberIDs {
		replies[id] = Reply{Sender: Sender{MemberID: id, Incarnation: 1, DiskID: uint64(100 + id)}, Phase: PhaseEstablished, Position: position, MemberSets: sets}
	}
	return replies
}

// Replies are a read quorum if they include majorities of both member sets of the highest state
// among them, even if another member set was asked.
func TestHasReadQuorum(t *testing.T) {
	old, grown := MemberSets{Current: memberSet(1, 2, 3)}, MemberSets{Current: memberSet(1, 2, 3, 4), Previous: memberSet(1, 2, 3)}
	moved := MemberSets{Current: memberSet(3, 4, 5), Previous: memberSet(3, 4, 2)}
	low, high := Position{1, 1}, Position{1, 2}
	for _, c := range []struct {
		name    string
		replies map[int]Reply
		want    bool
	}{
		{"majority of the old set", addReplies(map[int]Reply{}, low, old, 1, 2), true},
		{"minority", addReplies(map[int]Reply{}, low, old, 1), false},
		{"one reply has the grown set", addReplies(addReplies(map[int]Reply{}, low, old, 1), high, grown, 2), false},
		{"majorities of both sets", addReplies(addReplies(map[int]Reply{}, low, old, 1), high, grown, 2, 4), true},
		{"majority of the new set only", addReplies(map[int]Reply{}, high, moved, 4, 5), false},
		{"majorities of both sets, replaced members", addReplies(map[int]Reply{}, high, moved, 3, 4), true},
		{"no replies", map[int]Reply{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := HasReadQuorum(CurrentReplies(c.replies), old); got != c.want {
				t.Error(got)
			}
		})
	}
	// A reply from another disk with a member's ID does not count.
	replies := addReplies(map[int]Reply{}, low, old, 1, 2)
	reply := replies[2]
	reply.Sender.DiskID = 7
	replies[2] = reply
	if HasReadQuorum(replies, old) {
		t.Error("a reply from another disk was counted")
	}
}
