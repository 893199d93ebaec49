package membership

// Replica is the status of one control plane replica: a control plane node that runs as a member.
// Only the replica itself issues its status; other processes pass it on unchanged.
type Replica struct {
	MemberID int `msgpack:"s" json:"slot"`
	// MemberCount is the length of Members. Older versions send only MemberCount; the members are
	// then 1 to MemberCount.
	MemberCount int    `msgpack:"n" json:"slots"`
	Addr        string `msgpack:"a" json:"address"`
	// MemberIncarnation increases each time a replica with an empty disk joins as the member. Of
	// two replicas with the same MemberID, the one with the higher MemberIncarnation is the member.
	MemberIncarnation uint64 `msgpack:"i" json:"incarnation"`
	// Incarnation identifies the replica's process. Each start draws a new value.
	Incarnation uint64 `msgpack:"b" json:"boot"`
	Zone        string `msgpack:"l" json:"locality"`
	// Established is set once the replica has joined and may vote in the consensus.
	Established bool `msgpack:"e" json:"established"`
	// CommittedRevision is the newest revision of the control state that the replica knows
	// to be committed.
	CommittedRevision uint64 `msgpack:"st" json:"settled"`
	// Members are the member IDs in the newest control state that the replica has accepted, whose
	// revision is AcceptedRevision. PreviousMembers are the member IDs before that change; it is
	// set until the replica knows that the change is committed.
	Members          []int  `msgpack:"set,omitempty" json:"set,omitempty"`
	PreviousMembers  []int  `msgpack:"bef,omitempty" json:"before,omitempty"`
	AcceptedRevision uint64 `msgpack:"h,omitempty" json:"held,omitempty"`
	// Ineligible is set while the replica cannot perform the duties of the coordinator: its disk
	// accepts no writes, or it has no contact with a majority. (DESIGN 6.3)
	Ineligible bool `msgpack:"u,omitempty" json:"unable,omitempty"`
	// WallClock is the replica's wall clock when it sent the status, in nanoseconds since the Unix
	// epoch.
	WallClock int64 `msgpack:"w,omitempty" json:"-"`
	// Digest is the digest of all fields but WallClock, computed by the replica itself (see
	// WithDigest). Older versions send zero.
	Digest uint64 `msgpack:"m,omitempty" json:"-"`
}
