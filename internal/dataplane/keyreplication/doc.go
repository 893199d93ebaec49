// Package keyreplication replicates the reservations of idempotency keys, so that they
// survive the sidecar that made them. (DESIGN 10.4)
//
// Each reservation has an owner, which is the sidecar that made it. Before the owner executes
// a request with a key, it stores a Record of the reservation on ReplicationFactor peers, the
// replicas. After the request has ended, the owner sends them the response. If the request
// was not executed, the owner releases the record instead.
//
// A sidecar that starts asks all peers to hand over the records of its earlier incarnations.
// It accepts no request with a key until it has recovered the records, because an earlier
// incarnation may have executed the request that is being repeated. While a sidecar runs, it
// replaces replicas on peers that have left or restarted.
//
// Owner implements the owner's side, with the rules in ReplicationTracker and RankReplicas.
// ReplicaServer implements the peer's side, with the rules in ReplicaStore. Records are kept
// only in memory. A record is lost if its owner and all its replicas stop within about one
// second.
package keyreplication
