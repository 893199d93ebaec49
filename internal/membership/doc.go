// Package membership tracks which processes of a deployment are alive and which backends they
// offer. The processes are the control plane replicas and the nodes of the data plane, which are
// the sidecars with their backends.
//
// The terms of this package and of package watch:
//   - The control state is the replicated state of the control plane (config.ControlState). Each
//     change of it has a higher revision. It is in force in a sidecar that has applied it.
//   - A member is a participant of the consensus. It is identified by its member ID. A replica is
//     the process that runs as a member.
//   - A sidecar is also called a node. [Node] holds its state. A [Peer] is a sidecar as another
//     sidecar knows it.
//   - An incarnation is a random number that identifies one run of a process. Incarnations can only
//     be compared for equality. The member incarnation of a [Replica] is a counter instead.
//   - A departure is the final shutdown of a backend instance, as the instance announced it.
//   - A contract is a service level (config.Contract). Budgets are the counts of requests and their
//     lateness by the name of the contract (retrybudget.Counts).
//   - A lease is a sidecar's permission to admit requests to its backends. It is valid for a
//     limited time after a moment at which the sidecar's control state was confirmed to be the
//     newest one that was acknowledged to an operator (endpoints.Lease).
//   - Seeds are the configured addresses that a process contacts first.
//
// Soft state is not stored but sent periodically. Every process sends a [Heartbeat] to each control
// plane replica in every [HeartbeatInterval] ([Discovery]). A [HeartbeatEncoder] keeps heartbeats
// small: it omits what the receiver has acknowledged. Each process records its observations of the
// replicas in a [ReplicaTable]. Sidecars probe each other ([Prober] with its [FailureDetector]) and
// report a sidecar that does not respond as a [Suspicion]. While no replica delivers updates, the
// sidecars exchange their state directly ([Gossiper]). Requests are routed by an immutable [View].
//
// ReplicaTable, PeerStatusTable, HeartbeatEncoder, Departures and FailureDetector read no clock and
// do no I/O, so that tests and the simulation can drive them directly. (DESIGN 7)
package membership
