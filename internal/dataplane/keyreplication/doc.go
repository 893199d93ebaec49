// Package keyreplication replicates the reservations of idempotency keys, so that they
// outlive the sidecar that made them. (DESIGN 10.4)
//
// Before a request with a key is executed, its sidecar, the owner, stores a Record of the
// reservation on ReplicationFactor peers. When the request has ended, the record's replicas
// get the response, or are released if it was not executed. A sidecar that starts asks
// all peers to hand over the records of its earlier incarnations, and accepts no request
// with a key until it has them: an earlier incarnation may have executed what the request
// repeats. While it runs, it replaces the replicas of peers that have gone or restarted.
//
// Owner is the client's side of this, with the rules in ReplicationTracker and
// RankReplicas; ReplicaServer is the peer's side, with the rules in ReplicaStore. Records
// are kept in memory only: a record is lost if its owner and all its replicas end within
// about a second.
package keyreplication
