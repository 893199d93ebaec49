package consensus

// What follows reads the newest state out of the replies of several acceptors. Replies are
// kept by member ID.

// CurrentReplies leaves the replies that may be counted: those of acceptors that no other disk
// has replaced, as far as any of the replies says.
func CurrentReplies(replies map[int]Reply) map[int]Reply {
	current := map[int]Reply{}
	for id, reply := range replies {
		ok := reply.Phase == PhaseEstablished || reply.Phase == PhaseJoining
		for _, other := range replies {
			ok = ok && reply.Sender.isCurrent(other.MemberRecords[reply.Sender.MemberID])
		}
		if ok {
			current[id] = reply
		}
	}
	return current
}

// HighestReply finds the reply with the highest position, and the member sets of its state;
// own are those that the reader knows, for replies that name none.
func HighestReply(replies map[int]Reply, own MemberSets) (highest Reply, sets MemberSets) {
	for _, reply := range replies {
		if c := highest.Position.Compare(reply.Position); c < 0 || c == 0 && len(highest.MemberSets.Current) == 0 {
			highest = reply
		}
	}
	if len(highest.MemberSets.Current) == 0 {
		return highest, own
	}
	return highest, highest.MemberSets
}

// HasReadQuorum reports whether current replies are a majority of each member set of the highest
// state among them: then no state that was acknowledged before they were asked for is higher.
// (DESIGN 6.5)
func HasReadQuorum(current map[int]Reply, own MemberSets) bool {
	_, sets := HighestReply(current, own)
	return sets.HasQuorum(current)
}

// NewestState finds the newest state among current replies that are a read quorum; committed
// reports whether majorities are known to hold it.
func NewestState(current map[int]Reply, own MemberSets) (highest Reply, committed bool) {
	highest, sets := HighestReply(current, own)
	matching, known := map[int]Reply{}, false
	for id, reply := range current {
		if reply.Position == highest.Position {
			matching[id] = reply
			known = known || reply.Committed == reply.Position.Revision
		}
	}
	return highest, known || sets.HasQuorum(matching)
}
