package membership

import (
	"encoding/binary"
	"hash/fnv"
)

// digestBuilder collects what a digest is taken of.
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

// sum is never zero.
func (d digestBuilder) sum() uint64 {
	h := fnv.New64a()
	h.Write(d)
	return max(1, h.Sum64())
}

// WithDigest is the seat with its mark, a digest of all but the wall clock.
func (replica Replica) WithDigest() Replica {
	replica.Digest = digestBuilder{}.appendUint(uint64(replica.MemberID)).appendUint(uint64(replica.MemberCount)).appendString(replica.Addr).appendUint(replica.MemberIncarnation).appendUint(replica.Incarnation).appendString(replica.Zone).
		appendBool(replica.Established).appendUint(replica.CommittedRevision).appendMemberIDs(replica.Members).appendMemberIDs(replica.PreviousMembers).appendUint(replica.AcceptedRevision).appendBool(replica.Ineligible).sum()
	return replica
}

// Digest is that of what hearsay can teach: who sits where, in which incarnation, and
// the newest set of slots. own is the teller's own seat, if it has one.
func (table ReplicaTable) Digest(own *Replica) uint64 {
	table = table.withOwn(own)
	d := digestBuilder{}
	for _, replica := range table.All() {
		d = d.appendUint(uint64(replica.MemberID)).appendString(replica.Addr).appendUint(replica.MemberIncarnation)
	}
	members, previous, _ := table.Members()
	return d.appendMemberIDs(members).appendMemberIDs(previous).sum()
}
