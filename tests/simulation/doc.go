// Package simulation runs the production code that makes decisions in simulated time, with
// faults drawn from a seed. Time, messages, disks and processes are simulated. All decisions
// are made by the code that the programs run. The same seed reproduces the same run, as far
// as the production code is deterministic.
//
// There are four kinds of simulation: Consensus (the replicated state of the control plane),
// Membership (heartbeats, failure detection and watching for updates), ServingLeases (the
// leases that allow a sidecar to admit requests) and Requests (attempts, retries and
// idempotency keys). Losses is a Consensus simulation in which as many replicas as the member
// set tolerates are lost at once. (DESIGN 14.3)
package simulation
