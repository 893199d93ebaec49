package membership

import (
	"encoding/binary"
	"hash/fnv"
)

// digestBuilder accumulates the bytes that a digest is computed over. Numbers are encoded as
// varints. Strings and lists are prefixed with their length, so that different values have
// different encodings.
type digestBuilder []byte

func (d digestBuilder) appendUint(n uint64) digestBuilder { return binary.AppendUvarint(d, n) }

func (d digestBuilder) appendString(s string) digestBuilder {
	return append(d.appendUint(uint64(len(s))), s...)
}

func (d digestBuilder) appendMemberIDs(members []int) digestBuilder {
	d = d.appendUint(uint64(len(members)))
	for _, memberID := range members {
		d = d.appendUint(uint64(memberID))
	}
	return d
}

func (d digestBuilder) appendBool(on bool) digestBuilder {
	if on {
		return d.appendUint(1)
	}
	return d.appendUint(0)
}

// sum returns the digest. It is never zero, since zero means "no digest" in messages.
func (d digestBuilder) sum() uint64 {
	h := fnv.New64a()
	h.Write(d)
	return max(1, h.Sum64())
}

// WithDigest returns r with Digest set. The digest covers all fields but WallClock, which changes
// in every heartbeat.
func (r Replica) WithDigest() Replica {
	r.Digest = digestBuilder{}.
		appendUint(uint64(r.MemberID)).
		appendUint(uint64(r.MemberCount)).
		appendString(r.Addr).
		appendUint(r.MemberIncarnation).
		appendUint(r.Incarnation).
		appendString(r.Zone).
		appendBool(r.Established).
		appendUint(r.CommittedRevision).
		appendMemberIDs(r.Members).
		appendMemberIDs(r.PreviousMembers).
		appendUint(r.AcceptedRevision).
		appendBool(r.Ineligible).
		sum()
	return r
}

// Digest returns the digest of the information about replicas that a process can pass on to a
// process that has not observed them itself: the address and the member incarnation of each
// member's replica, and the newest members. own is the process's own replica, or nil if the process
// is a sidecar.
func (t ReplicaTable) Digest(own *Replica) uint64 {
	t = t.withOwn(own)
	d := digestBuilder{}
	for _, r := range t.All() {
		d = d.appendUint(uint64(r.MemberID)).appendString(r.Addr).appendUint(r.MemberIncarnation)
	}
	members, previous, _ := t.Members()
	return d.appendMemberIDs(members).appendMemberIDs(previous).sum()
}
