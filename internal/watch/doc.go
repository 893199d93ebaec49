// Package watch delivers the committed control state and the nodes of the data plane from the
// control plane replicas to the sidecars. The comment of package membership defines the terms.
//
// On a replica, a [Server] owns an [EventLog]. It holds the newest committed control state, the
// nodes that send heartbeats to this replica, and the numbered changes of both. A sidecar's
// [Watcher] requests the events after an offset from one replica at a time, with a long poll, and
// receives them as [Updates]. If the replica no longer has these events, it sends a snapshot. The
// control state may be sent as a patch of the one that the sidecar has ([StateDecoder]). A [Mirror]
// holds what the sidecar has received so far.
//
// EventLog, Mirror, StateDecoder and the Watcher's choice of a replica read no clock and do no I/O,
// so that tests and the simulation can drive them directly. (DESIGN 8)
package watch
