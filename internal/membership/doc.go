// Package membership tracks which processes of a deployment are alive and which backends they
// offer. The processes are the control plane replicas and the nodes of the data plane, which are
// the sidecars with their backends.
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
