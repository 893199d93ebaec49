package consensus

// The functions in this file determine the newest state from the replies of several acceptors.
// The replies are keyed by member ID.

// CurrentReplies returns the replies that may be counted: those of voting acceptors whose disk
// has not been replaced according to any of the replies.
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

// HighestReply returns the reply with the highest position and the member sets of its state. If
// that reply has no member sets, it returns own, the member sets known to the reader. A joining
// acceptor without a state has no member sets.
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

// HasReadQuorum reports whether current replies include a majority of each member set of the
// highest state among them. If so, no higher state was acknowledged before the replies were
// requested. (DESIGN 6.5)
func HasReadQuorum(current map[int]Reply, own MemberSets) bool {
	_, sets := HighestReply(current, own)
	return sets.HasQuorum(current)
}

// NewestState returns the newest state among current replies that form a read quorum, and
// whether that state is known to be committed.
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
