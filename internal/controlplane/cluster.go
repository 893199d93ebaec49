package controlplane

import (
	"slices"
	"time"

	"curlewwalk/internal/clock"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/settings"
)

// cluster is this node's view of the control plane: the members, the coordinator among them, and
// the status that this node announces. It implements consensus.Peers.
type cluster struct {
	cfg settings.ControlPlane
	// incarnation is the incarnation of this process.
	incarnation uint64
	replica     *consensus.Replica
	discovery   *membership.Discovery
}

// status returns the current status of this replica.
func (c *cluster) status() membership.Replica {
	acceptor := c.replica.Acceptor()
	sets := acceptor.MemberSets()
	status := membership.Replica{
		MemberID:          acceptor.Self.MemberID,
		MemberCount:       len(sets.Current),
		Addr:              c.cfg.Advertise,
		MemberIncarnation: acceptor.Self.Incarnation,
		Incarnation:       c.incarnation,
		Zone:              c.cfg.Zone,
		Established:       acceptor.Phase == consensus.PhaseEstablished,
		CommittedRevision: acceptor.Committed,
		Members:           consensus.MemberIDs(sets.Current),
		AcceptedRevision:  acceptor.Position.Revision,
		Ineligible:        !c.replica.Healthy(),
		WallClock:         clock.Wall().UnixNano(),
	}
	if acceptor.Committed < acceptor.Position.Revision {
		status.PreviousMembers = consensus.MemberIDs(sets.Previous)
	}
	return status.WithDigest()
}

// announcedStatus returns the status that this replica sends to other processes. It returns nil
// while the replica has no member ID, or has one that may belong to another replica because it is
// neither established nor static.
func (c *cluster) announcedStatus() *membership.Replica {
	status := c.status()
	if status.MemberID == 0 || !status.Established && !c.cfg.HasStaticMember() {
		return nil
	}
	return &status
}

// storedMembers returns the other members that are stored on this replica's disk.
func storedMembers(acceptor consensus.Acceptor) (members []membership.Replica) {
	for _, m := range acceptor.MemberSets().Union() {
		if m.Addr != "" && m.DiskID != acceptor.Self.DiskID {
			members = append(members, membership.Replica{MemberID: m.MemberID, Addr: m.Addr})
		}
	}
	return members
}

// Addr implements consensus.Peers.
func (c *cluster) Addr(memberID int) (string, bool) {
	member, ok := c.discovery.Replicas().Member(memberID)
	return member.Addr, ok
}

// coordinator returns the live and eligible member with the lowest member ID, as seen by this
// replica. The coordinator executes commands. Consensus stays safe while replicas disagree about
// which replica is the coordinator.
func (c *cluster) coordinator() membership.Replica {
	return c.discovery.Replicas().Coordinator(c.status(), c.memberIDs(), time.Now())
}

// IsCoordinator implements consensus.Peers.
func (c *cluster) IsCoordinator() bool { return c.isSelf(c.coordinator()) }

// isSelf reports whether a status belongs to this replica.
func (c *cluster) isSelf(replica membership.Replica) bool { return replica.Addr == c.cfg.Advertise }

// memberIDs returns the member IDs of the newest known control state. That is either the state of
// this replica or a newer one that another replica has announced.
func (c *cluster) memberIDs() []int {
	acceptor := c.replica.Acceptor()
	own := acceptor.MemberSets().Current
	announced, _, accepted := c.discovery.Replicas().Members()
	if len(announced) > 0 && (accepted > acceptor.Position.Revision || len(own) == 0) {
		return announced
	}
	return consensus.MemberIDs(own)
}

// memberStatuses returns the address and the liveness of each known replica, by member ID. This
// replica always counts as live.
func (c *cluster) memberStatuses() map[int]consensus.MemberStatus {
	statuses := reportedStatuses(c.discovery.Replicas(), time.Now())
	if self := c.replica.Acceptor().Self; self.MemberID != 0 {
		statuses[self.MemberID] = consensus.MemberStatus{Addr: c.cfg.Advertise, Live: true}
	}
	return statuses
}

// reportedStatuses returns the address and the liveness of the other replicas, by member ID.
func reportedStatuses(replicas membership.ReplicaTable, now time.Time) map[int]consensus.MemberStatus {
	live := replicas.Live(now)
	statuses := map[int]consensus.MemberStatus{}
	for _, replica := range replicas.All() {
		statuses[replica.MemberID] = consensus.MemberStatus{
			Addr: replica.Addr,
			Live: slices.ContainsFunc(live, func(l membership.Replica) bool { return l.MemberID == replica.MemberID }),
		}
	}
	return statuses
}

// medianWallClock returns the median of the replicas' wall clocks. With the median, a single wrong
// clock cannot begin or end a maintenance window.
func (c *cluster) medianWallClock() time.Time {
	return c.discovery.Replicas().MedianClock(clock.Wall(), c.replica.Acceptor().Self.MemberID, time.Now())
}
