package config

// Member is a member of the control plane: a replica whose votes count. Membership is either static
// or dynamic. A static member has a fixed member ID from the settings of its replica, and the set
// of static members never changes. In a dynamic cluster, each disk gets its own member ID, and no
// ID is reused. The initial members of a dynamic cluster are those listed in the settings at its
// first start; other replicas join later. (DESIGN 6.5)
type Member struct {
	MemberID int `msgpack:"s" json:"slot"`
	// DiskID identifies the disk. For an initial member of a dynamic cluster, it is derived from
	// the member's address. For a member that joins later, it is random. It is zero for a static
	// member, whose member ID any disk may take; its disks are distinguished by incarnation.
	DiskID uint64 `msgpack:"d,omitempty" json:"id,omitempty"`
	// Addr is the address that the replica had when it was added.
	Addr string `msgpack:"a,omitempty" json:"address,omitempty"`
}
