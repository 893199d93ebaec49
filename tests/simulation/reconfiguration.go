package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
)

// wallClockBase is when simulated runs begin, for what counts in wall time.
var wallClockBase = time.Unix(1_700_000_000, 0)

// maxReplicas bounds how many cores are to be up at a time.
const maxReplicas = 9

// NewDynamicMembership lays out a run whose cores have no static seats: so many founders, and
// others that come, go, are swapped and wiped.
func NewDynamicMembership(seed uint64, founders int, f Faults) *Consensus {
	sim := NewConsensus(seed, 0, f)
	sim.dynamicMembership, sim.members = true, founders
	for i := range founders {
		sim.founders = append(sim.founders, fmt.Sprintf("core %d", i))
	}
	for i := range founders {
		r := &replica{addr: sim.founders[i], disk: consensus.Bootstrap{NewCluster: true, InitialMembers: sim.founders, AdvertiseAddr: sim.founders[i]}.InitialState(sim.rng.Uint64() | 1)}
		sim.replicas = append(sim.replicas, r)
		sim.after(sim.randomDuration(time.Second), func() { sim.start(r) })
	}
	return sim
}

func (sim *Consensus) replicaAt(addr string) *replica {
	i := slices.IndexFunc(sim.replicas, func(r *replica) bool { return r.addr == addr })
	if i < 0 {
		return nil
	}
	return sim.replicas[i]
}

func (sim *Consensus) wallTime() time.Time { return wallClockBase.Add(sim.now) }

// startHeartbeats has a core heartbeat all others in rhythm.
func (sim *Consensus) startHeartbeats(r *replica, incarnation int) {
	var heartbeat func()
	heartbeat = func() {
		if !r.up || r.incarnation != incarnation {
			return
		}
		sim.whenAwake(r, func() { sim.heartbeat(r) })
		sim.after(membership.HeartbeatInterval, heartbeat)
	}
	heartbeat()
}

// status is what a core tells of its seat.
func (r *replica) status() membership.Replica {
	acceptor := r.acceptor
	status := membership.Replica{
		MemberID: acceptor.Self.MemberID, MemberCount: len(acceptor.MemberSets().Current), Members: consensus.MemberIDs(acceptor.MemberSets().Current), AcceptedRevision: acceptor.Position.Revision, Addr: r.addr, MemberIncarnation: acceptor.Self.Incarnation,
		Established: acceptor.Phase == consensus.PhaseEstablished, CommittedRevision: acceptor.Committed,
	}
	if acceptor.Committed < acceptor.Position.Revision {
		status.PreviousMembers = consensus.MemberIDs(acceptor.MemberSets().Previous)
	}
	return status
}

// heartbeat tells a core's seat to the others, which tell theirs; then it looks how its
// seat and the others' stand.
func (sim *Consensus) heartbeat(r *replica) {
	known := r.members.Observed()
	replica := r.status()
	for _, to := range sim.replicas {
		if to == r || to.removed {
			continue
		}
		sim.send(r, to, func() {
			to.members = to.members.AddReported(known, sim.wallTime())
			if replica.Established {
				sim.receiveStatus(to, replica)
			}
			reply, replyKnown := to.status(), to.members.Observed()
			sim.send(to, r, func() {
				r.members = r.members.AddReported(replyKnown, sim.wallTime())
				if reply.Established {
					sim.receiveStatus(r, reply)
				}
			})
		})
	}
	r.reconfigurer = r.reconfigurer.Observe(r.acceptor.MemberSets().Current, r.knownMembers(sim.wallTime()), sim.now)
	if r.acceptor.IsMember() && sim.coordinatorOf(r) == r {
		if command, ok := r.reconfigurer.PlanRemoval(r.acceptor, sim.now); ok {
			sim.reconfigure(r, command)
		}
	}
}

// receiveStatus takes what a core told of itself.
func (sim *Consensus) receiveStatus(r *replica, status membership.Replica) {
	r.members = r.members.Observe(status, sim.wallTime())
	acceptor := r.acceptor
	switch {
	case status.CommittedRevision > acceptor.Committed:
		from := sim.replicaAt(status.Addr)
		sim.send(r, from, func() {
			_, reply := from.acceptor.Step(consensus.Message{Sender: acceptor.Self, Type: consensus.MsgRead})
			sim.send(from, r, func() {
				if reply.Committed != reply.Position.Revision {
					return
				}
				next, _ := r.acceptor.Step(consensus.Message{Sender: r.acceptor.Self, Type: consensus.MsgCommit, Term: reply.Position.Term, Position: reply.Position, State: reply.State})
				sim.save(r, next)
				sim.recordCommitted(r)
			})
		})
	}
}

func (r *replica) knownMembers(now time.Time) map[int]consensus.MemberStatus {
	out := map[int]consensus.MemberStatus{}
	live := r.members.Live(now)
	for _, status := range r.members.All() {
		out[status.MemberID] = consensus.MemberStatus{Addr: status.Addr, Live: slices.ContainsFunc(live, func(other membership.Replica) bool { return other.MemberID == status.MemberID })}
	}
	if acceptor := r.acceptor; acceptor.Self.MemberID != 0 {
		out[acceptor.Self.MemberID] = consensus.MemberStatus{Addr: r.addr, Live: true}
	}
	return out
}

// coordinatorOf is the core that one takes for the one on duty.
func (sim *Consensus) coordinatorOf(r *replica) *replica {
	set := consensus.MemberIDs(r.acceptor.MemberSets().Current)
	if members, _, revision := r.members.Members(); len(members) > 0 && (revision > r.acceptor.Position.Revision || len(set) == 0) {
		set = members
	}
	member := r.acceptor.Phase == consensus.PhaseEstablished && slices.Contains(set, r.acceptor.Self.MemberID)
	for _, members := range r.members.Live(sim.wallTime()) {
		if members.MemberID != r.acceptor.Self.MemberID && slices.Contains(set, members.MemberID) && (members.MemberID < r.acceptor.Self.MemberID || !member) {
			return sim.replicaAt(members.Addr)
		}
	}
	return r
}

// requestMembership is what a core does for its seat; it tells whether that is all for now.
func (sim *Consensus) requestMembership(r *replica) bool {
	if r.acceptor.Removed() {
		sim.trace(r, "is struck")
		sim.Removed++
		sim.save(r, r.acceptor.Rejoining(sim.rng.Uint64()|1))
	}
	if r.acceptor.Phase != consensus.PhaseJoining {
		return false
	}
	if !r.leaving && sim.rng.IntN(4) == 0 {
		if coordinator := sim.coordinatorOf(r); coordinator != r {
			sim.askToJoin(r, coordinator)
		}
	}
	return true
}

func (sim *Consensus) askToJoin(r, coordinator *replica) {
	request := consensus.JoinRequest{DiskID: r.acceptor.Self.DiskID, Addr: r.addr}
	sim.send(r, coordinator, func() {
		if !coordinator.acceptor.IsMember() || sim.coordinatorOf(coordinator) != coordinator {
			return
		}
		if command, ok := coordinator.reconfigurer.PlanJoin(request, coordinator.acceptor, coordinator.knownMembers(sim.wallTime()), sim.now); ok {
			sim.reconfigure(coordinator, command)
		}
	})
}

// reconfigure has the set changed, one change at a time.
func (sim *Consensus) reconfigure(r *replica, command consensus.Command) {
	if r.reconfiguring {
		return
	}
	r.reconfiguring = true
	sim.trace(r, "orders %s into %d, %d out", command.Joining.Addr, command.Joining.MemberID, command.Leaving)
	incarnation := r.incarnation
	sim.submit(r, command, func(consensus.CommandResult) {
		if r.incarnation == incarnation {
			r.reconfiguring = false
		}
	})
}

// countChange counts changes of the set.
func (sim *Consensus) countChange(state config.ControlState) {
	switch {
	case len(state.PreviousMembers) == 0:
	case len(state.Members) > len(state.PreviousMembers):
		sim.Grown++
	case len(state.Members) < len(state.PreviousMembers):
		sim.Shrunk++
	default:
		sim.Replaced++
	}
}

// toleratesLoss tells whether the cores' disks would still be enough with some of them lost:
// a majority of each set that may decide.
func (sim *Consensus) toleratesLoss(lost ...*replica) bool {
	sets := []consensus.MemberSets{{Current: sim.newestState.Members, Previous: sim.newestState.PreviousMembers}}
	for _, r := range sim.replicas {
		if member := r.disk.Position; len(sim.newestState.Members) == 0 || member.Revision > sim.newestState.Revision {
			sets = append(sets, r.disk.MemberSets())
		}
	}
	for revision, proposed := range sim.proposedSets {
		if revision > sim.newestState.Revision {
			sets = append(sets, proposed...)
		}
	}
	for _, s := range sets {
		for _, set := range [][]config.Member{s.Current, s.Previous} {
			remaining := 0
			for _, member := range set {
				if slices.ContainsFunc(sim.replicas, func(r *replica) bool {
					return !r.removed && r.disk.Self.DiskID == member.DiskID && !slices.Contains(lost, r)
				}) {
					remaining++
				}
			}
			if len(set) > 0 && remaining < consensus.Majority(len(set)) {
				return false
			}
		}
	}
	return true
}

// changeMembers has a core come, go for good, be swapped or wiped, or a minority of the
// disks be lost at once, at times with the power of all others.
func (sim *Consensus) changeMembers() {
	var present []*replica
	for _, r := range sim.replicas {
		if !r.removed {
			present = append(present, r)
		}
	}
	pick := func() *replica { return present[sim.rng.IntN(len(present))] }
	switch sim.rng.IntN(6) {
	case 0:
		if len(present) < maxReplicas {
			sim.join()
		}
	case 1:
		if r := pick(); len(present) > 3 && sim.toleratesLoss(r) {
			sim.removeForGood(r)
		}
	case 2:
		if r := pick(); sim.toleratesLoss(r) {
			sim.removeForGood(r)
			sim.join()
		}
	case 3:
		if r := pick(); sim.toleratesLoss(r) {
			sim.wipe(r)
		}
	default:
		lost := []*replica{}
		for _, i := range sim.rng.Perm(len(present)) {
			if sim.toleratesLoss(append(slices.Clone(lost), present[i])...) {
				lost = append(lost, present[i])
			}
		}
		if len(lost) == 0 {
			return
		}
		sim.Blackouts++
		all := sim.rng.IntN(2) == 0
		for _, r := range present {
			switch {
			case slices.Contains(lost, r) && sim.rng.IntN(2) == 0:
				sim.removeForGood(r)
				sim.join()
			case slices.Contains(lost, r):
				sim.wipe(r)
			case all && r.up:
				sim.crash(r)
			}
		}
	}
}

func (sim *Consensus) join() {
	sim.Joins++
	r := &replica{addr: fmt.Sprintf("core %d", len(sim.replicas)), disk: consensus.Bootstrap{}.InitialState(sim.rng.Uint64() | 1)}
	sim.replicas = append(sim.replicas, r)
	sim.start(r)
}

func (sim *Consensus) removeForGood(r *replica) {
	sim.trace(r, "goes for good")
	sim.DiskLosses++
	r.removed, r.up = true, false
	r.incarnation++
	r.disk = consensus.Acceptor{}
}

// wipe starts a core again at its address, with an empty disk.
func (sim *Consensus) wipe(r *replica) {
	sim.trace(r, "is wiped")
	sim.DiskLosses++
	if r.up {
		sim.crash(r)
	}
	r.disk = consensus.Bootstrap{InitialMembers: sim.founders, AdvertiseAddr: r.addr}.InitialState(sim.rng.Uint64() | 1)
}

// disagreement tells what is still amiss with the set, after the faults: all cores that are
// up are to be members, and no more may be missing than an odd set may lack.
func (sim *Consensus) disagreement() string {
	var live, set []int
	sets := map[string]bool{}
	for _, r := range sim.replicas {
		if r.removed {
			continue
		}
		if !r.acceptor.IsMember() {
			return r.addr + " is no member"
		}
		live = append(live, r.acceptor.Self.MemberID)
		set = consensus.MemberIDs(r.acceptor.MemberSets().Current)
		sets[fmt.Sprint(set)] = true
	}
	missing := 0
	for _, s := range set {
		if !slices.Contains(live, s) {
			missing++
		}
	}
	tolerated := len(set) % 2
	if len(set) <= max(3, sim.members) {
		tolerated = len(set) - consensus.Majority(len(set))
	}
	if len(sets) != 1 || missing > tolerated || len(live)+missing != len(set) {
		return fmt.Sprintf("%d are missing in %v", missing, slices.Sorted(maps.Keys(sets)))
	}
	return ""
}
