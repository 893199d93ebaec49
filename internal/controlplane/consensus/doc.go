// Package consensus replicates the control state across the control planes. The control state
// consists of the configuration that the operator submitted, the evacuated zones, the calendar
// of maintenance windows, and the member sets.
//
// The control state is a single register that is written by Paxos. Each replica has an
// Acceptor, which stores the register. The Proposer of the coordinator first has a majority of
// the acceptors promise a term. Then it proposes the newest state among their replies again,
// and after that it writes one command at a time under that term. A state is committed once a
// majority has accepted it. While a reconfiguration is in progress, a majority of the previous
// member set must have accepted it as well.
//
// Acceptor, Proposer, MembershipPlanner, and Health are pure: they receive messages and the
// time as arguments and return what has to be sent, saved, and answered. This allows
// tests/modelcheck to explore their interleavings, and tests/simulation to run many of them on
// a simulated clock. A Replica runs an acceptor and a proposer, and owns the mailbox, the disk,
// the network, and the timers. (DESIGN 6)
package consensus
