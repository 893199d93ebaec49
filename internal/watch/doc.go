// Package watch delivers the committed control state and the nodes of the data plane from the
// control plane replicas to the sidecars.
//
// On a replica, a [Server] owns an [EventLog]: the newest committed control state, the nodes that
// send heartbeats to this replica, and the numbered changes of both. A sidecar's [Watcher] asks
// one replica at a time, with a long poll, for the events after an offset and gets them as
// [Updates]; if the replica no longer has them, it gets a snapshot. The control state may be sent
// as a patch of the one that the sidecar has ([StateDecoder]). What the sidecar has received so
// far is its [Mirror].
//
// EventLog, Mirror, StateDecoder and the Watcher's choice of a replica are pure state: they read
// no clock and do no I/O, so tests and the simulation drive them directly. Constants marked
// (ours) are our own choice of a value. (DESIGN 8)
package watch
