package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReplicaTimeout is how long a core may be unheard before it counts as not live.
const ReplicaTimeout = 1500 * time.Millisecond // (ours)

// candidateTTL is how long an address that never answers is still tried.
const candidateTTL = 30 * time.Second // (ours)

// ReplicaTable is a decision value: which core sits in which slot, from what was
// heard. Only a core's own word seats it; hearsay makes it a candidate.
type ReplicaTable struct {
	byMember   map[int]observation
	refused    map[string]time.Time // addresses where nobody listened
	candidates map[string]time.Time
	reported   map[int]Replica // by hearsay alone
	newest     Replica         // whose set is the newest told of
}

type observation struct {
	replica Replica
	at      time.Time
}

// Observe takes a core's own word and returns the next value.
func (table ReplicaTable) Observe(replica Replica, now time.Time) ReplicaTable {
	old, ok := table.byMember[replica.MemberID]
	older := replica.MemberIncarnation < old.replica.MemberIncarnation
	// Of two that claim one slot in the same incarnation (none established
	// yet), the one already heard keeps it while it is live.
	rival := replica.MemberIncarnation == old.replica.MemberIncarnation && replica.Addr != old.replica.Addr && now.Sub(old.at) < ReplicaTimeout
	if ok && (older || rival) {
		return table
	}
	next := table
	if next.byMember = maps.Clone(table.byMember); next.byMember == nil {
		next.byMember = map[int]observation{}
	}
	next.byMember[replica.MemberID] = observation{replica: replica, at: now}
	return next.updateMembers(replica).removeFormerMembers(now)
}

// updateMembers takes a set of slots, if it is newer than the one known.
func (table ReplicaTable) updateMembers(replica Replica) ReplicaTable {
	if replica.MemberCount > 0 && (table.newest.MemberCount == 0 || replica.AcceptedRevision > table.newest.AcceptedRevision || replica.AcceptedRevision == table.newest.AcceptedRevision &&
		(len(table.newest.Members) == 0 || replica.CommittedRevision >= replica.AcceptedRevision && table.newest.CommittedRevision < table.newest.AcceptedRevision)) {
		table.newest = replica
	}
	return table
}

// removeFormerMembers forgets the cores of slots that were struck. One that waits for its slot to
// be added is kept while it is live.
func (table ReplicaTable) removeFormerMembers(now time.Time) ReplicaTable {
	if len(table.newest.Members) == 0 {
		return table
	}
	keep := union(table.newest.Members, table.newest.PreviousMembers)
	stale := func(memberID int) bool {
		return !slices.Contains(keep, memberID) && now.Sub(table.byMember[memberID].at) >= ReplicaTimeout
	}
	table.byMember, table.reported = maps.Clone(table.byMember), maps.Clone(table.reported)
	maps.DeleteFunc(table.reported, func(memberID int, _ Replica) bool { return stale(memberID) })
	maps.DeleteFunc(table.byMember, func(memberID int, _ observation) bool { return stale(memberID) })
	return table
}

// union lists the members of two lists, each once, in order.
func union[T cmp.Ordered](a, b []T) []T {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// Members is the newest set of slots that any core told of, and the stamp of the word
// that it is of.
func (table ReplicaTable) Members() (members, previous []int, accepted uint64) {
	if len(table.newest.Members) > 0 {
		return table.newest.Members, table.newest.PreviousMembers, table.newest.AcceptedRevision
	}
	for i := range table.newest.MemberCount { // an older version tells their number only
		members = append(members, i+1)
	}
	return members, nil, 0
}

// AddReported takes seats that another process knows of.
func (table ReplicaTable) AddReported(known []Replica, now time.Time) ReplicaTable {
	next := table
	next.candidates, next.reported = maps.Clone(table.candidates), maps.Clone(table.reported)
	if next.candidates == nil {
		next.candidates, next.reported = map[string]time.Time{}, map[int]Replica{}
	}
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

// Refused takes that nobody listened at an address.
func (table ReplicaTable) Refused(addr string, now time.Time) ReplicaTable {
	next := table
	if next.refused = maps.Clone(table.refused); next.refused == nil {
		next.refused = map[string]time.Time{}
	}
	maps.DeleteFunc(next.refused, func(_ string, at time.Time) bool { return now.Sub(at) > ReplicaTimeout })
	next.refused[addr] = now
	return next
}

// QuorumLost tells whether so many cores are known to be dead that the others,
// heard or silent, can't be a majority. A slot whose core never spoke to this
// node is counted as others told of it. (DESIGN 7.2)
func (table ReplicaTable) QuorumLost(now time.Time) bool {
	dead := map[int]bool{}
	for _, replica := range table.All() {
		if at, ok := table.refused[replica.Addr]; ok && now.Sub(at) < ReplicaTimeout && at.After(table.byMember[replica.MemberID].at) {
			dead[replica.MemberID] = true
		}
	}
	lost := func(members []int) bool {
		left := 0
		for _, memberID := range members {
			if !dead[memberID] {
				left++
			}
		}
		return left < len(members)/2+1
	}
	members, previous, _ := table.Members()
	// While a change of the set may not have been settled, either set may decide.
	return len(members) > 0 && lost(members) && (len(previous) == 0 || lost(previous))
}

// All lists the cores by slot: those that spoke for themselves, and, for other
// slots, those that others told of.
func (table ReplicaTable) All() []Replica {
	out := table.Observed()
	for memberID, replica := range table.reported {
		if _, ok := table.byMember[memberID]; !ok {
			out = append(out, replica)
		}
	}
	slices.SortFunc(out, func(a, b Replica) int { return cmp.Compare(a.MemberID, b.MemberID) })
	return out
}

// Observed lists the seated cores by slot, live or not.
func (table ReplicaTable) Observed() []Replica {
	var out []Replica
	for _, h := range table.byMember {
		out = append(out, h.replica)
	}
	slices.SortFunc(out, func(a, b Replica) int { return cmp.Compare(a.MemberID, b.MemberID) })
	return out
}

// withOwn takes a core's own seat in, as it tells of it itself.
func (table ReplicaTable) withOwn(own *Replica) ReplicaTable {
	if own == nil {
		return table
	}
	if table.byMember = maps.Clone(table.byMember); table.byMember == nil {
		table.byMember = map[int]observation{}
	}
	table.byMember[own.MemberID] = observation{replica: *own}
	return table.updateMembers(*own)
}

// FindByDigest finds a seated core by the mark that it told.
func (table ReplicaTable) FindByDigest(replicaDigest uint64) (Replica, bool) {
	for _, h := range table.byMember {
		if replicaDigest != 0 && h.replica.Digest == replicaDigest {
			return h.replica, true
		}
	}
	return Replica{}, false
}

// DigestAt is the mark of the seated core at an address, zero if there is none.
func (table ReplicaTable) DigestAt(addr string) uint64 {
	for _, h := range table.byMember {
		if h.replica.Addr == addr {
			return h.replica.Digest
		}
	}
	return 0
}

// ObserveHeartbeat takes what a heartbeat or a response tells, and returns the seat that spoke for
// itself, if one did.
func (table ReplicaTable) ObserveHeartbeat(h Heartbeat, now time.Time) (next ReplicaTable, spoke *Replica) {
	spoke = h.Replica
	if replica, ok := table.FindByDigest(h.ReplicaDigest); ok && spoke == nil {
		replica.WallClock, spoke = h.WallClock, &replica
	}
	if spoke != nil {
		table = table.Observe(*spoke, now)
	}
	return table.AddReported(h.KnownReplicas, now), spoke
}

// Respond is the response to a heartbeat, as far as it is of cores; own is the seat of whom
// answers, if it has one, and digest that of what it knows.
func (table ReplicaTable) Respond(h Heartbeat, own *Replica, digest uint64) Heartbeat {
	out := Heartbeat{TableDigest: digest}
	if _, ok := table.FindByDigest(h.ReplicaDigest); h.ReplicaDigest != 0 && !ok {
		out.RequestFull = true
	}
	if h.TableDigest != digest {
		out.KnownReplicas = table.All()
	}
	switch {
	case own == nil:
	case h.KnownDigest != 0 && h.KnownDigest == own.Digest:
		if out.ReplicaDigest = own.Digest; h.Node == nil && h.NodeStatus == nil {
			out.WallClock = own.WallClock
		}
	default:
		out.Replica = own
	}
	return out
}

// Live lists the seated cores heard of lately, by slot: the agreed order of
// duty.
func (table ReplicaTable) Live(now time.Time) []Replica {
	return slices.DeleteFunc(table.Observed(), func(replica Replica) bool { return now.Sub(table.byMember[replica.MemberID].at) >= ReplicaTimeout })
}

// CommittedPast tells whether a live core has told that a newer word than that of a stamp is
// settled. Settled words only grow, so what a core told once stays true.
func (table ReplicaTable) CommittedPast(revision uint64, now time.Time) bool {
	return slices.ContainsFunc(table.Live(now), func(replica Replica) bool { return replica.CommittedRevision > revision })
}

// MedianClock is the middle one of the live cores' wall clocks, the own one counted in:
// it is right as long as most of them are. (DESIGN 17.2)
func (table ReplicaTable) MedianClock(own time.Time, ownMemberID int, now time.Time) time.Time {
	all := []time.Time{own}
	for _, replica := range table.Live(now) {
		if replica.MemberID != ownMemberID && replica.WallClock != 0 {
			all = append(all, time.Unix(0, replica.WallClock).Add(now.Sub(table.byMember[replica.MemberID].at)))
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all[(len(all)-1)/2]
}

// Member finds the core in a slot.
func (table ReplicaTable) Member(memberID int) (Replica, bool) {
	h, ok := table.byMember[memberID]
	return h.replica, ok
}

// HeartbeatTargets lists whom to heartbeat: all cores and candidates, and the seeds
// while any slot lacks a live core.
func (table ReplicaTable) HeartbeatTargets(own string, seeds []string, now time.Time) []string {
	addrs := map[string]bool{}
	for _, replica := range table.All() {
		addrs[replica.Addr] = true
	}
	for a := range table.candidates {
		addrs[a] = true
	}
	members, _, _ := table.Members()
	if live := len(table.Live(now)); live == 0 || live < len(members) {
		for _, a := range seeds {
			addrs[a] = true
		}
	}
	delete(addrs, own)
	return slices.Sorted(maps.Keys(addrs))
}
