package membership

import "time"

// FindByDigest returns the observed replica whose status has the given digest.
func (t ReplicaTable) FindByDigest(digest uint64) (Replica, bool) {
	for _, o := range t.byMember {
		if digest != 0 && o.replica.Digest == digest {
			return o.replica, true
		}
	}
	return Replica{}, false
}

// DigestAt returns the digest of the observed replica at addr, or zero if there is none.
func (t ReplicaTable) DigestAt(addr string) uint64 {
	for _, o := range t.byMember {
		if o.replica.Addr == addr {
			return o.replica.Digest
		}
	}
	return 0
}

// ObserveHeartbeat records the information about replicas in a heartbeat or a response. sender is
// the status of the replica that sent the message, even if the message has only its digest. sender
// is nil if the message came from a sidecar or the digest is unknown.
func (t ReplicaTable) ObserveHeartbeat(h Heartbeat, now time.Time) (next ReplicaTable, sender *Replica) {
	sender = h.Replica
	if replica, ok := t.FindByDigest(h.ReplicaDigest); ok && sender == nil {
		replica.WallClock, sender = h.WallClock, &replica
	}
	if sender != nil {
		t = t.Observe(*sender, now)
	}
	return t.AddReported(h.KnownReplicas, now), sender
}

// Respond returns the part of the response to a heartbeat that concerns the replicas. It omits what
// the sender of h already has. own is the responder's own status, or nil if the responder is a
// sidecar. digest is the digest of the responder's table.
func (t ReplicaTable) Respond(h Heartbeat, own *Replica, digest uint64) Heartbeat {
	out := Heartbeat{TableDigest: digest}
	if _, ok := t.FindByDigest(h.ReplicaDigest); h.ReplicaDigest != 0 && !ok {
		out.RequestFull = true
	}
	if h.TableDigest != digest {
		out.KnownReplicas = t.All()
	}
	switch {
	case own == nil:
	case h.KnownDigest != 0 && h.KnownDigest == own.Digest:
		if out.ReplicaDigest = own.Digest; h.Node == nil && h.NodeStatus == nil {
			out.WallClock = own.WallClock // only replicas compare clocks
		}
	default:
		out.Replica = own
	}
	return out
}
