package dataplane

import (
	"time"

	"curlewwalk/internal/dataplane/endpoints"
)

// configurationTrustedFor is how long after its last confirmation a configuration is assumed
// to be the newest. An acknowledged change is in force on all sidecars within this time. It is
// shorter than endpoints.LeaseDuration, the time for which a sidecar may admit requests after
// the last confirmation.
const configurationTrustedFor = 2 * time.Second

// leaseValid reports whether this sidecar may admit requests to its backends. It may do so
// while its lease has not expired. It may also do so if the control plane has lost its quorum
// and a majority of the sidecars agree that there is no newer configuration: without a
// quorum, the control plane cannot acknowledge a newer one. (DESIGN 7.2, 7.4)
func (s *Sidecar) leaseValid() bool {
	now := time.Now()
	if s.agent.lease.Age(now) <= endpoints.LeaseDuration {
		return true
	}
	return s.peerLeaseValid(now)
}

// peerLeaseValid reports whether the agreement of the other sidecars replaces the lease.
func (s *Sidecar) peerLeaseValid(now time.Time) bool {
	return s.agent.peerLease.Age(now) <= endpoints.LeaseDuration && s.discovery.Replicas().QuorumLost(now)
}

// configurationUnconfirmed reports whether this sidecar's configuration has been unconfirmed for
// so long that a newer one may already be in force on other sidecars. In that case, this sidecar
// must not report that a request has no route.
// (DESIGN 7.2)
func (s *Sidecar) configurationUnconfirmed() bool {
	now := time.Now()
	return s.agent.lease.Age(now) > configurationTrustedFor && !s.peerLeaseValid(now)
}

// configurationOutdated reports whether this sidecar must not route requests by its own
// configuration. This is the case if a live control plane replica reports a newer committed
// revision, and this sidecar's revision has not been confirmed for so long that the newer one
// must be assumed to be in force. A sidecar that no replica can reach continues to route:
// admission depends on the lease of the sidecar that admits the request. (DESIGN 7.2)
func (s *Sidecar) configurationOutdated() bool {
	now := time.Now()
	return s.agent.lease.Age(now) > configurationTrustedFor && s.discovery.Replicas().HasCommittedAbove(s.routingTable().Revision, now)
}
