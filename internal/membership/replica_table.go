package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReplicaTimeout is how long a replica counts as live after its last status.
const ReplicaTimeout = 1500 * time.Millisecond

// candidateTTL is how long heartbeats are sent to an address that does not respond, after another
// process last reported it.
const candidateTTL = 30 * time.Second

// ReplicaTable holds the information that one process has about the control plane replicas: which
// replica is which member, and when it last sent its status. Only a message from the replica itself
// makes it the member. A report by another process makes the address a candidate: the process sends
// heartbeats to it to find out whether a replica runs there.
//
// The table is an immutable value: methods that change it return the next table. The zero value is
// an empty table.
type ReplicaTable struct {
	// byMember holds the replicas that sent a status themselves, by member ID.
	byMember map[int]observation
	// refused holds when each address last refused a connection: no process listens there.
	refused map[string]time.Time
	// candidates holds when other processes last reported each address.
	candidates map[string]time.Time
	// reported holds the replicas as other processes reported them, by member ID.
	reported map[int]Replica
	// newest is the replica that sent the newest members.
	newest Replica
}

// observation is a replica's status with its time of arrival.
type observation struct {
	replica Replica
	at      time.Time
}

// Observe records the status that a replica sent of itself.
func (t ReplicaTable) Observe(replica Replica, now time.Time) ReplicaTable {
	old, ok := t.byMember[replica.MemberID]
	if ok && old.outranks(replica, now) {
		return t
	}
	next := t
	next.byMember = cloneOrMake(t.byMember)
	next.byMember[replica.MemberID] = observation{replica: replica, at: now}
	return next.updateMembers(replica).removeFormerMembers(now)
}

// outranks reports whether the observed replica remains the member when another replica claims the
// same member ID. It does if other has a lower member incarnation, or if other has the same member
// incarnation and another address while the observed replica is live. The second case occurs only
// before either of them is established.
func (o observation) outranks(other Replica, now time.Time) bool {
	if other.MemberIncarnation < o.replica.MemberIncarnation {
		return true
	}
	conflict := other.MemberIncarnation == o.replica.MemberIncarnation && other.Addr != o.replica.Addr
	return conflict && now.Sub(o.at) < ReplicaTimeout
}

// updateMembers records the members that a replica sent, if they are newer than the known ones.
func (t ReplicaTable) updateMembers(replica Replica) ReplicaTable {
	if replica.MemberCount > 0 && replica.hasNewerMembers(t.newest) {
		t.newest = replica
	}
	return t
}

// hasNewerMembers reports whether r has newer members than other. The members with the higher
// accepted revision are newer. If the revisions are equal, the members of r are newer if other has
// no list of members, or if only r knows that they are committed.
func (r Replica) hasNewerMembers(other Replica) bool {
	if other.MemberCount == 0 || r.AcceptedRevision > other.AcceptedRevision {
		return true
	}
	if r.AcceptedRevision < other.AcceptedRevision {
		return false
	}
	committed := r.CommittedRevision >= r.AcceptedRevision
	otherCommitted := other.CommittedRevision >= other.AcceptedRevision
	return len(other.Members) == 0 || committed && !otherCommitted
}

// removeFormerMembers removes the replicas that are no longer members. A replica that waits to be
// added is kept while it is live.
func (t ReplicaTable) removeFormerMembers(now time.Time) ReplicaTable {
	if len(t.newest.Members) == 0 {
		return t
	}
	keep := union(t.newest.Members, t.newest.PreviousMembers)
	former := func(memberID int) bool {
		return !slices.Contains(keep, memberID) && now.Sub(t.byMember[memberID].at) >= ReplicaTimeout
	}
	byMember, reported := maps.Clone(t.byMember), maps.Clone(t.reported)
	maps.DeleteFunc(reported, func(memberID int, _ Replica) bool { return former(memberID) })
	maps.DeleteFunc(byMember, func(memberID int, _ observation) bool { return former(memberID) })
	t.byMember, t.reported = byMember, reported
	return t
}

// AddReported records the replicas that another process knows.
func (t ReplicaTable) AddReported(known []Replica, now time.Time) ReplicaTable {
	next := t
	next.candidates, next.reported = cloneOrMake(t.candidates), cloneOrMake(t.reported)
	for _, replica := range known {
		next.candidates[replica.Addr] = now
		if old, ok := next.reported[replica.MemberID]; !ok || replica.MemberIncarnation > old.MemberIncarnation {
			next.reported[replica.MemberID] = replica
		}
		next = next.updateMembers(replica)
	}
	maps.DeleteFunc(next.candidates, func(_ string, at time.Time) bool { return now.Sub(at) > candidateTTL })
	return next.removeFormerMembers(now)
}

// RecordRefusal records that a connection to addr was refused: no process listens there.
func (t ReplicaTable) RecordRefusal(addr string, now time.Time) ReplicaTable {
	next := t
	next.refused = cloneOrMake(t.refused)
	maps.DeleteFunc(next.refused, func(_ string, at time.Time) bool { return now.Sub(at) > ReplicaTimeout })
	next.refused[addr] = now
	return next
}

// withOwn returns the table with the process's own status added. nil adds nothing.
func (t ReplicaTable) withOwn(own *Replica) ReplicaTable {
	if own == nil {
		return t
	}
	t.byMember = cloneOrMake(t.byMember)
	t.byMember[own.MemberID] = observation{replica: *own}
	return t.updateMembers(*own)
}

// cloneOrMake returns a copy of m that can be written to, even if m is nil.
func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// union returns the elements of a and b in ascending order, without duplicates.
func union[T cmp.Ordered](a, b []T) []T {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// byMemberID orders replicas by member ID.
func byMemberID(a, b Replica) int { return cmp.Compare(a.MemberID, b.MemberID) }
