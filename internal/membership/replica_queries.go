package membership

import (
	"maps"
	"slices"
	"time"
)

// Members returns the newest members that any replica sent, the previous members while that change
// may not have been committed, and the revision of the control state that contains the newest
// members.
func (t ReplicaTable) Members() (members, previous []int, accepted uint64) {
	if len(t.newest.Members) > 0 {
		return t.newest.Members, t.newest.PreviousMembers, t.newest.AcceptedRevision
	}
	for i := range t.newest.MemberCount { // older versions send only the number of members
		members = append(members, i+1)
	}
	return members, nil, 0
}

// Observed returns the replicas that sent a status themselves, live or not, ordered by member ID.
func (t ReplicaTable) Observed() []Replica {
	var out []Replica
	for _, o := range t.byMember {
		out = append(out, o.replica)
	}
	slices.SortFunc(out, byMemberID)
	return out
}

// All returns the observed replicas and, for the other members, the replicas that other processes
// reported. The result is ordered by member ID.
func (t ReplicaTable) All() []Replica {
	out := t.Observed()
	for memberID, replica := range t.reported {
		if _, ok := t.byMember[memberID]; !ok {
			out = append(out, replica)
		}
	}
	slices.SortFunc(out, byMemberID)
	return out
}

// Live returns the replicas that sent their status within ReplicaTimeout, ordered by member ID.
func (t ReplicaTable) Live(now time.Time) []Replica {
	return slices.DeleteFunc(t.Observed(), func(replica Replica) bool {
		return now.Sub(t.byMember[replica.MemberID].at) >= ReplicaTimeout
	})
}

// Member returns the observed replica with the given member ID.
func (t ReplicaTable) Member(memberID int) (Replica, bool) {
	o, ok := t.byMember[memberID]
	return o.replica, ok
}

// QuorumLost reports whether so many members are known to be dead that the others, live or silent,
// cannot be a majority. A member counts as dead for ReplicaTimeout after its address refused a
// connection, unless it has sent its status since. (DESIGN 7.2)
func (t ReplicaTable) QuorumLost(now time.Time) bool {
	dead := t.deadMembers(now)
	lost := func(members []int) bool {
		left := 0
		for _, memberID := range members {
			if !dead[memberID] {
				left++
			}
		}
		return left < len(members)/2+1
	}
	members, previous, _ := t.Members()
	// While a change of the members may not have been committed, the majority of either set may
	// decide.
	return len(members) > 0 && lost(members) && (len(previous) == 0 || lost(previous))
}

// deadMembers returns the IDs of the members whose addresses refused a connection within
// ReplicaTimeout and that have not sent a status since.
func (t ReplicaTable) deadMembers(now time.Time) map[int]bool {
	dead := map[int]bool{}
	for _, replica := range t.All() {
		at, ok := t.refused[replica.Addr]
		if ok && now.Sub(at) < ReplicaTimeout && at.After(t.byMember[replica.MemberID].at) {
			dead[replica.MemberID] = true
		}
	}
	return dead
}

// HasCommittedAbove reports whether a live replica has reported that a revision above the given
// one is committed. Committed revisions only increase, so an earlier report stays true.
func (t ReplicaTable) HasCommittedAbove(revision uint64, now time.Time) bool {
	return slices.ContainsFunc(t.Live(now), func(replica Replica) bool { return replica.CommittedRevision > revision })
}

// MedianClock returns the median of the live replicas' wall clocks, including the caller's own. The
// median is correct as long as most of the clocks are. (DESIGN 17.2)
func (t ReplicaTable) MedianClock(own time.Time, ownMemberID int, now time.Time) time.Time {
	clocks := []time.Time{own}
	for _, replica := range t.Live(now) {
		if replica.MemberID == ownMemberID || replica.WallClock == 0 {
			continue
		}
		age := now.Sub(t.byMember[replica.MemberID].at)
		clocks = append(clocks, time.Unix(0, replica.WallClock).Add(age))
	}
	slices.SortFunc(clocks, time.Time.Compare)
	return clocks[(len(clocks)-1)/2]
}

// HeartbeatTargets returns the addresses to send heartbeats to: those of all known replicas and
// candidates, and also the seeds while no replica is live or fewer replicas are live than there are
// members. The result is sorted and does not contain own, the address of the calling process.
func (t ReplicaTable) HeartbeatTargets(own string, seeds []string, now time.Time) []string {
	addrs := map[string]bool{}
	for _, replica := range t.All() {
		addrs[replica.Addr] = true
	}
	for addr := range t.candidates {
		addrs[addr] = true
	}
	members, _, _ := t.Members()
	if live := len(t.Live(now)); live == 0 || live < len(members) {
		for _, addr := range seeds {
			addrs[addr] = true
		}
	}
	delete(addrs, own)
	return slices.Sorted(maps.Keys(addrs))
}
