package controlplane

import (
	"slices"
	"time"

	"curlewwalk/internal/clock"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/settings"
)

// cluster is this node's view of the control plane: which replicas are its members, which of them
// is the coordinator, and what this node announces of itself. It implements consensus.Peers.
type cluster struct {
	cfg settings.ControlPlane
	// incarnation is that of this process.
	incarnation uint64
	replica     *consensus.Replica
	discovery   *membership.Discovery
}

// status is what this replica announces of itself.
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

// announcedStatus is the status that other processes are sent; nil while this replica has no
// member ID that is surely its own.
func (c *cluster) announcedStatus() *membership.Replica {
	status := c.status()
	if status.MemberID == 0 || !status.Established && !c.cfg.HasStaticMember() {
		return nil
	}
	return &status
}

// storedMembers are the other members that this replica's disk names.
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

// coordinator is the live and eligible member with the lowest member ID, as far as this replica
// knows. It executes commands; consensus stays safe while replicas differ over who it is.
func (c *cluster) coordinator() membership.Replica {
	return c.discovery.Replicas().Coordinator(c.status(), c.memberIDs(), time.Now())
}

// IsCoordinator implements consensus.Peers.
func (c *cluster) IsCoordinator() bool { return c.isSelf(c.coordinator()) }

// isSelf tells whether a replica is this one.
func (c *cluster) isSelf(replica membership.Replica) bool { return replica.Addr == c.cfg.Advertise }

// memberIDs are the members by the newest state that this replica knows of: its own, or one that
// another replica has accepted.
func (c *cluster) memberIDs() []int {
	acceptor := c.replica.Acceptor()
	own := acceptor.MemberSets().Current
	announced, _, accepted := c.discovery.Replicas().Members()
	if len(announced) > 0 && (accepted > acceptor.Position.Revision || len(own) == 0) {
		return announced
	}
	return consensus.MemberIDs(own)
}

// memberStatuses has the replicas that were reported, by member ID, and whether they are live. This
// replica itself is.
func (c *cluster) memberStatuses() map[int]consensus.MemberStatus {
	statuses := reportedStatuses(c.discovery.Replicas(), time.Now())
	if self := c.replica.Acceptor().Self; self.MemberID != 0 {
		statuses[self.MemberID] = consensus.MemberStatus{Addr: c.cfg.Advertise, Live: true}
	}
	return statuses
}

// reportedStatuses is memberStatuses without this replica.
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

// medianWallClock is the median of the replicas' wall clocks, so that one wrong clock does not
// begin or end a maintenance window.
func (c *cluster) medianWallClock() time.Time {
	return c.discovery.Replicas().MedianClock(clock.Wall(), c.replica.Acceptor().Self.MemberID, time.Now())
}
