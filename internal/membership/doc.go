// Package membership tracks which processes of a deployment are alive and what each one
// offers: the control plane replicas, the nodes of the data plane (sidecars) and the
// backends behind them.
//
// Soft state is repeated rather than stored. Every process sends a [Heartbeat] to each
// control plane replica every [HeartbeatInterval] ([Discovery]); a [HeartbeatEncoder] keeps
// it small by leaving out what the receiver has acknowledged. What a process has observed of
// the replicas is its [ReplicaTable]. Sidecars probe one another ([Prober] with its
// [FailureDetector]) and report the silent ones as a [Suspicion]. While no replica delivers
// updates, sidecars exchange what they know among themselves ([Gossiper]). Requests are
// routed by an immutable [View].
//
// ReplicaTable, PeerStatusTable, HeartbeatEncoder, Departures and FailureDetector are pure
// state: they read no clock and do no I/O, so tests and the simulation drive them directly.
// Constants marked (ours) are our own choice of a value. (DESIGN 7)
package membership
