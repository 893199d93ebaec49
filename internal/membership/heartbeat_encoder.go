package membership

// HeartbeatEncoder removes from the heartbeats to one receiver what that receiver has acknowledged.
// The sender keeps one encoder for each address. An encoder is an immutable value. The zero value
// is for a receiver that has no state yet or whose version does not support partial heartbeats. A
// receiver may lose acknowledged state when it restarts; it then requests a full heartbeat.
// (DESIGN 7.1)
type HeartbeatEncoder struct {
	// incarnation and version are those of the Node that the receiver has. replicaDigest is the
	// digest of the Replica that it has.
	incarnation, version, replicaDigest uint64
	// tableDigest is the digest of the receiver's ReplicaTable.
	tableDigest uint64
}

// Encode removes from a full heartbeat what the receiver already has. includeBudgets specifies
// whether a NodeStatus includes the node's counts by contract.
func (e HeartbeatEncoder) Encode(full Heartbeat, includeBudgets bool) Heartbeat {
	if full.TableDigest == e.tableDigest {
		full.KnownReplicas = nil
	}
	if n := full.Node; n != nil && e.incarnation != 0 && n.Incarnation == e.incarnation && n.Version == e.version {
		status := n.Status(includeBudgets)
		full.Node, full.NodeStatus = nil, &status
	}
	if r := full.Replica; r != nil && r.Digest != 0 && r.Digest == e.replicaDigest {
		full.Replica, full.ReplicaDigest, full.WallClock = nil, r.Digest, r.WallClock
	}
	return full
}

// Acknowledge processes the response to an encoded heartbeat and returns the encoder for the next
// one. resend reports whether the next heartbeat should be sent at once, because the last one
// omitted something that the receiver lacks.
func (e HeartbeatEncoder) Acknowledge(sent, response Heartbeat) (next HeartbeatEncoder, resend bool) {
	next.tableDigest = response.TableDigest
	resend = sent.TableDigest == e.tableDigest && sent.TableDigest != response.TableDigest
	if response.TableDigest == 0 || response.RequestFull {
		return next, resend || sent.NodeStatus != nil || sent.ReplicaDigest != 0
	}
	next.incarnation, next.version, next.replicaDigest = e.incarnation, e.version, e.replicaDigest
	if sent.Node != nil {
		next.incarnation, next.version = sent.Node.Incarnation, sent.Node.Version
	}
	if sent.Replica != nil {
		next.replicaDigest = sent.Replica.Digest
	}
	return next, resend
}
