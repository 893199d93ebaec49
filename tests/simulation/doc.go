// Package simulation runs the production's decision code under seeded faults in simulated
// time. Only time, messages, disks and processes are simulated; every decision is made by
// the code that the programs run. A seed brings the same run about again, as far as that
// code is deterministic.
//
// There are four kinds of run: Consensus (the control plane's replicated state), Membership
// (heartbeats, failure detection and the watch of updates), ServingLeases (the leases that
// allow a sidecar to admit requests) and Requests (attempts, retries and idempotency keys).
// Losses is a Consensus run in which as many replicas as the member set tolerates are lost
// at once. (DESIGN 14.3)
package simulation
