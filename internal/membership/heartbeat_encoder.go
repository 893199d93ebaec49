package membership

// HeartbeatEncoder is a decision value: what is told to one process, by what its responses have
// shown that it has. Whoever heartbeats keeps one for each address; the zero value is for
// one that has nothing, or whose version does not understand differences. What is
// taken for known may be wrong, since that process may have started anew: then it asks
// for the whole. (DESIGN 7.1)
type HeartbeatEncoder struct {
	// incarnation and rev are of the node that it was told, mark of the seat.
	incarnation, version, replicaDigest uint64
	// tableDigest is that of the seats that it knows.
	tableDigest uint64
}

// Encode cuts a heartbeat that tells all to what is to be told; due tells whether the
// tallies are.
func (encoder HeartbeatEncoder) Encode(full Heartbeat, includeBudgets bool) Heartbeat {
	if full.TableDigest == encoder.tableDigest {
		full.KnownReplicas = nil
	}
	if n := full.Node; n != nil && encoder.incarnation != 0 && n.Incarnation == encoder.incarnation && n.Version == encoder.version {
		status := n.Status(includeBudgets)
		full.Node, full.NodeStatus = nil, &status
	}
	if c := full.Replica; c != nil && c.Digest != 0 && c.Digest == encoder.replicaDigest {
		full.Replica, full.ReplicaDigest, full.WallClock = nil, c.Digest, c.WallClock
	}
	return full
}

// Acknowledge takes the response to what was told and returns the next value; again
// tells whether to heartbeat at once: something was held back that is not known there.
func (encoder HeartbeatEncoder) Acknowledge(sent, response Heartbeat) (next HeartbeatEncoder, resend bool) {
	next.tableDigest = response.TableDigest
	resend = sent.TableDigest == encoder.tableDigest && sent.TableDigest != response.TableDigest
	if response.TableDigest == 0 || response.RequestFull {
		return next, resend || sent.NodeStatus != nil || sent.ReplicaDigest != 0
	}
	next.incarnation, next.version, next.replicaDigest = encoder.incarnation, encoder.version, encoder.replicaDigest
	if sent.Node != nil {
		next.incarnation, next.version = sent.Node.Incarnation, sent.Node.Version
	}
	if sent.Replica != nil {
		next.replicaDigest = sent.Replica.Digest
	}
	return next, resend
}
