package membership

// HeartbeatEncoder reduces the heartbeats to one receiver to what that has not acknowledged
// yet. The sender keeps one for each address; it is an immutable value, and the zero value is
// for a receiver that has nothing or whose version does not understand differences. What the
// encoder takes for acknowledged may be lost when the receiver restarts; the receiver then asks
// for a full heartbeat. (DESIGN 7.1)
type HeartbeatEncoder struct {
	// incarnation and version are those of the Node that the receiver has, and replicaDigest
	// is that of the Replica.
	incarnation, version, replicaDigest uint64
	// tableDigest is the digest of the receiver's ReplicaTable.
	tableDigest uint64
}

// Encode reduces a full heartbeat to what the receiver lacks. includeBudgets says whether the
// node's counts by contract go into a NodeStatus.
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

// Acknowledge takes the response to an encoded heartbeat and returns the encoder for the next
// one. resend says whether that should be sent at once, because this one left out something
// that the receiver lacks.
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
