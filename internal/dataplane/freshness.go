package dataplane

import (
	"time"

	"curlewwalk/internal/dataplane/endpoints"
)

// configurationTrustedFor is how long after its last confirmation a configuration is
// trusted to be the newest: an acknowledged change is in force everywhere within it.
const configurationTrustedFor = 2 * time.Second // (ours)

// leaseValid reports whether this sidecar may admit requests to its backends: its lease has
// not expired, or the control plane has lost its quorum, so that no newer configuration can
// be acknowledged, and a majority of the sidecars agree that there is none. (DESIGN 7.2,
// 7.4)
func (s *Sidecar) leaseValid() bool {
	now := time.Now()
	if s.agent.lease.Age(now) <= endpoints.LeaseDuration {
		return true
	}
	return s.peerLeaseValid(now)
}

// peerLeaseValid reports whether the other sidecars' agreement stands in for the lease.
func (s *Sidecar) peerLeaseValid(now time.Time) bool {
	return s.agent.peerLease.Age(now) <= endpoints.LeaseDuration && s.discovery.Replicas().QuorumLost(now)
}

// configurationUnconfirmed reports whether a newer configuration may have been in force
// elsewhere for so long that it would be wrong to say that a request has no route.
// (DESIGN 7.2)
func (s *Sidecar) configurationUnconfirmed() bool {
	now := time.Now()
	return s.agent.lease.Age(now) > configurationTrustedFor && !s.peerLeaseValid(now)
}

// configurationOutdated reports whether this sidecar must not choose routes by what it has:
// a live control plane replica reports that a newer revision is committed, and none has
// confirmed this sidecar's for so long that the newer one is to be in force by now. A
// sidecar that no replica reaches goes on; admission is bound by the lease of the sidecar
// that admits. (DESIGN 7.2)
func (s *Sidecar) configurationOutdated() bool {
	now := time.Now()
	return s.agent.lease.Age(now) > configurationTrustedFor && s.discovery.Replicas().CommittedPast(s.routingTable().Revision, now)
}
