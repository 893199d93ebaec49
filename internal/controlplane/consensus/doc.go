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
// Each change of the control state increases its revision by one. A Position is a revision
// together with the term under which it was proposed. The coordinator is the live and healthy
// member with the lowest member ID. Replicas may disagree for a while about which member that
// is; this is safe, since a proposer writes nothing without the promises of a majority.
//
// The membership is static or dynamic. With static membership, the settings give each replica
// its member ID and the number of members. A member whose disk was replaced requests its member
// ID again by MsgJoin, under a higher incarnation. With dynamic membership, the control state
// lists the members, and reconfigurations planned by the MembershipPlanner change them. Each
// disk then gets a member ID that no disk had before. The members of the first start are called
// initial members.
//
// Acceptor, Proposer, MembershipPlanner, and Health are pure: they receive messages and the
// time as arguments and return what has to be sent, saved, and answered. This allows
// tests/modelcheck to explore their interleavings, and tests/simulation to run many of them on
// a simulated clock. A Replica runs an acceptor and a proposer, and owns the mailbox, the disk,
// the network, and the timers. (DESIGN 6)
package consensus
