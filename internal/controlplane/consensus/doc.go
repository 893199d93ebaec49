// Package consensus replicates the control state over the control planes: the configuration
// that the operator submitted, the zones that are evacuated, the calendar of maintenance
// windows and the member sets themselves.
//
// It is a single register written by Paxos. An Acceptor is a replica's share of the register.
// A Proposer, that of the coordinator, has a term promised by a majority of the acceptors,
// proposes again the newest state that it finds among them, and then writes one command after
// the other under that term. A state is committed once a majority has accepted it, and while a
// reconfiguration is under way, a majority of the previous member set as well.
//
// Acceptor, Proposer, MembershipPlanner and Health are pure: they are given messages and the time,
// and return what is to be sent, saved and answered. That is why tests/modelcheck explores
// their interleavings, and tests/simulation runs many of them on a clock of its own. A Replica
// runs an acceptor and a proposer: it holds the mailbox, the disk, the network and the timers.
// (DESIGN 6)
package consensus
