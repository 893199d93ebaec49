package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReplicaTimeout is how long after its last status a replica counts as live.
const ReplicaTimeout = 1500 * time.Millisecond // (ours)

// candidateTTL is how long heartbeats are sent to an address that was only reported by others
// and does not answer.
const candidateTTL = 30 * time.Second // (ours)

// ReplicaTable is what one process knows of the control plane replicas: which one is which
// member, and when it last sent its status. Only a replica's own message makes it the member;
// what others report makes its address a candidate for heartbeats.
//
// The table is an immutable value: methods that change it return the next one. The zero value
// knows nothing.
type ReplicaTable struct {
	// byMember are the replicas that sent a status themselves, by member ID.
	byMember map[int]observation
	// refused says when a connection to an address was last refused: no process listens.
	refused map[string]time.Time
	// candidates says when an address was last reported by others.
	candidates map[string]time.Time
	// reported are the replicas as others reported them, by member ID.
	reported map[int]Replica
	// newest is the replica that sent the newest members.
	newest Replica
}

// observation is a replica's status and when it arrived.
type observation struct {
	replica Replica
	at      time.Time
}

// Observe takes the status that a replica sent of itself.
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

// outranks reports whether the observed replica stays the member against another one:
// if that has a lower member incarnation, or, in the same one, another address while the
// observed one is live. The latter happens only before any of the two is established.
func (o observation) outranks(other Replica, now time.Time) bool {
	if other.MemberIncarnation < o.replica.MemberIncarnation {
		return true
	}
	rivals := other.MemberIncarnation == o.replica.MemberIncarnation && other.Addr != o.replica.Addr
	return rivals && now.Sub(o.at) < ReplicaTimeout
}

// updateMembers takes the members that a replica sent, if they are newer than those known.
func (t ReplicaTable) updateMembers(replica Replica) ReplicaTable {
	if replica.MemberCount > 0 && replica.hasNewerMembers(t.newest) {
		t.newest = replica
	}
	return t
}

// hasNewerMembers reports whether r has newer members than another replica: those of a higher
// revision, or, of the same, if only r has them at all or only r knows that they are committed.
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

// removeFormerMembers forgets the replicas that are members no longer. One that waits to be
// added is kept as long as it is live.
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

// AddReported takes the replicas that another process knows of.
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

// Refused notes that a connection to an address was refused: no process listens there.
func (t ReplicaTable) Refused(addr string, now time.Time) ReplicaTable {
	next := t
	next.refused = cloneOrMake(t.refused)
	maps.DeleteFunc(next.refused, func(_ string, at time.Time) bool { return now.Sub(at) > ReplicaTimeout })
	next.refused[addr] = now
	return next
}

// withOwn adds a replica's own status, as it sends it itself; nil adds nothing.
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

// union returns the elements of two lists, each once, in ascending order.
func union[T cmp.Ordered](a, b []T) []T {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// byMemberID orders replicas by member ID.
func byMemberID(a, b Replica) int { return cmp.Compare(a.MemberID, b.MemberID) }
