package simulation

import (
	"fmt"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
)

// crash kills a replica. The replica restarts within 3 s if it should run.
func (sim *Consensus) crash(r *replica) {
	sim.trace(r, "is killed")
	r.up = false
	sim.Kills++
	r.incarnation++
	if sim.shouldRun(r) {
		sim.after(sim.randomDuration(3*time.Second), func() {
			if !r.up && sim.shouldRun(r) {
				sim.start(r)
			}
		})
	}
}

// killRandom kills a random replica and, with probability 1/8, all replicas.
func (sim *Consensus) killRandom() {
	if r := sim.randomReplica(); r.up {
		sim.crash(r)
	}
	if sim.rng.IntN(8) == 0 {
		for _, r := range sim.replicas {
			if r.up {
				sim.crash(r)
			}
		}
	}
}

// replaceDisk replaces a static member by a replica with an empty disk. It does so only while
// all members are established, because the protocol does not tolerate the loss of more than a
// minority of the disks at a time. The old replica keeps running with probability 1/2.
func (sim *Consensus) replaceDisk() {
	memberID := sim.rng.IntN(sim.members) + 1
	for id := 1; id <= sim.members; id++ {
		if r := sim.current(id); r.disk.Phase != consensus.PhaseEstablished {
			return
		}
	}
	sim.DiskLosses++
	sim.trace(sim.current(memberID), "is replaced")
	old := sim.current(memberID)
	r := &replica{memberID: memberID, disk: sim.emptyAcceptor(memberID)}
	sim.replicas = append(sim.replicas, r)
	if sim.rng.IntN(2) == 0 {
		old.up = false
		old.incarnation++
	}
	sim.start(r)
}

// pauseRandom pauses a random replica for up to 5 s.
func (sim *Consensus) pauseRandom() {
	if r := sim.randomReplica(); r.up {
		r.pausedUntil = sim.now + sim.randomDuration(5*time.Second)
	}
}

// partition splits the replicas into two random partitions for up to 4 s.
func (sim *Consensus) partition() {
	for _, r := range sim.replicas {
		r.partition = sim.rng.IntN(2)
	}
	sim.after(sim.randomDuration(4*time.Second), func() {
		for _, r := range sim.replicas {
			r.partition = 0
		}
	})
}

// toleratesLoss reports whether a majority of each member set keeps its disks if the given
// replicas lose theirs. It considers the newest committed member sets and those of all
// proposals that may still be committed.
func (sim *Consensus) toleratesLoss(lost ...*replica) bool {
	sets := []consensus.MemberSets{{Current: sim.newestState.Members, Previous: sim.newestState.PreviousMembers}}
	for _, r := range sim.replicas {
		if position := r.disk.Position; len(sim.newestState.Members) == 0 || position.Revision > sim.newestState.Revision {
			sets = append(sets, r.disk.MemberSets())
		}
	}
	for revision, proposed := range sim.proposedSets {
		if revision > sim.newestState.Revision {
			sets = append(sets, proposed...)
		}
	}
	for _, s := range sets {
		if !sim.hasMajorityWithout(lost, s.Current) || !sim.hasMajorityWithout(lost, s.Previous) {
			return false
		}
	}
	return true
}

// hasMajorityWithout reports whether a majority of a member set keeps its disks if the lost
// replicas lose theirs. It returns true for an empty set.
func (sim *Consensus) hasMajorityWithout(lost []*replica, set []config.Member) bool {
	remaining := 0
	for _, member := range set {
		if slices.ContainsFunc(sim.replicas, func(r *replica) bool {
			return !r.removed && r.disk.Self.DiskID == member.DiskID && !slices.Contains(lost, r)
		}) {
			remaining++
		}
	}
	return len(set) == 0 || remaining >= consensus.Majority(len(set))
}

// changeMembers makes a replica join, leave permanently, be replaced or lose its disk, or makes
// several replicas lose their disks at once. It never loses more disks than the member sets
// tolerate.
func (sim *Consensus) changeMembers() {
	present := sim.present()
	pick := func() *replica { return present[sim.rng.IntN(len(present))] }
	switch sim.rng.IntN(6) {
	case 0:
		if len(present) < maxReplicas {
			sim.join()
		}
	case 1:
		if r := pick(); len(present) > 3 && sim.toleratesLoss(r) {
			sim.removePermanently(r)
		}
	case 2:
		if r := pick(); sim.toleratesLoss(r) {
			sim.removePermanently(r)
			sim.join()
		}
	case 3:
		if r := pick(); sim.toleratesLoss(r) {
			sim.loseDisk(r)
		}
	default:
		sim.loseMinority(present)
	}
}

// loseMinority makes as many replicas lose their disks at once as the member sets tolerate.
// With probability 1/2 it also kills all other replicas.
func (sim *Consensus) loseMinority(present []*replica) {
	lost := []*replica{}
	for _, i := range sim.rng.Perm(len(present)) {
		if sim.toleratesLoss(append(slices.Clone(lost), present[i])...) {
			lost = append(lost, present[i])
		}
	}
	if len(lost) == 0 {
		return
	}
	sim.MinorityLosses++
	all := sim.rng.IntN(2) == 0
	for _, r := range present {
		switch {
		case slices.Contains(lost, r) && sim.rng.IntN(2) == 0:
			sim.removePermanently(r)
			sim.join()
		case slices.Contains(lost, r):
			sim.loseDisk(r)
		case all && r.up:
			sim.crash(r)
		}
	}
}

// present returns the replicas that were not removed permanently.
func (sim *Consensus) present() (out []*replica) {
	for _, r := range sim.replicas {
		if !r.removed {
			out = append(out, r)
		}
	}
	return out
}

// join starts a new replica with an empty disk.
func (sim *Consensus) join() {
	sim.Joins++
	r := &replica{addr: fmt.Sprintf("replica %d", len(sim.replicas)), disk: consensus.Bootstrap{}.InitialState(sim.rng.Uint64() | 1)}
	sim.replicas = append(sim.replicas, r)
	sim.start(r)
}

// removePermanently stops a replica permanently and discards its disk.
func (sim *Consensus) removePermanently(r *replica) {
	sim.trace(r, "is removed permanently")
	sim.DiskLosses++
	r.removed, r.up = true, false
	r.incarnation++
	r.disk = consensus.Acceptor{}
}

// loseDisk kills a replica that is up and replaces its disk by an empty one. The replica restarts
// at the same address.
func (sim *Consensus) loseDisk(r *replica) {
	sim.trace(r, "loses its disk")
	sim.DiskLosses++
	if r.up {
		sim.crash(r)
	}
	r.disk = consensus.Bootstrap{InitialMembers: sim.founders, AdvertiseAddr: r.addr}.InitialState(sim.rng.Uint64() | 1)
}
