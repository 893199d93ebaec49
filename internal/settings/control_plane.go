package settings

import (
	"slices"
	"strings"
	"time"
)

// ControlPlane contains the settings of a control plane node.
type ControlPlane struct {
	Common
	// Slot is the replica's static member ID, from 1. If it is zero, the replica asks the members
	// to let it join.
	Slot int `long:"slot" ini-name:"slot" description:"a static seat: which slot this core takes, from 1; without it the core asks the others for one"`
	// Slots is the number of static members.
	Slots int `long:"slots" ini-name:"slots" default:"3" description:"how many slots a system of static seats begins with: 1, 3, 5 or 7"`
	// Founders are the transport addresses of the initial members, in the order of their member IDs.
	Founders []string `long:"founders" ini-name:"founders" description:"wire address of a core that founds the system, in order; one a line, or several with commas"`
	// First is true at the first start of a new cluster. It is valid only together with Founders.
	First bool `long:"first" ini-name:"first" description:"this is the first start of the whole system, on empty disks"`
	// GoneAfter is how long a member may be unresponsive before it is removed or replaced.
	GoneAfter time.Duration `long:"gone-after" ini-name:"gone-after" default:"2500ms" description:"how long a core may be unheard before its seat is given to another"`
	// Data is the data directory.
	Data string `long:"data" ini-name:"data" description:"data folder (required)"`
}

// maxFounders is the maximum number of initial members of a cluster.
const maxFounders = 31

const (
	// maxStaticMembers is the maximum number of static members. Their number must be odd, because an
	// even number of members tolerates no more failures than the odd number below it.
	maxStaticMembers = 7
	// minGoneAfter is the minimum of GoneAfter. It is far enough above the heartbeat interval that a
	// short pause does not remove a member.
	minGoneAfter = 2 * time.Second
)

// HasStaticMember reports whether the settings give the replica a static member ID.
func (s ControlPlane) HasStaticMember() bool { return s.Slot != 0 }

// ReadControlPlane reads and validates the settings of a control plane node, together with those of
// groups. Exit reports whether the program must exit instead of running.
func ReadControlPlane(args []string, groups ...Group) (ControlPlane, Exit) {
	var s ControlPlane
	exit := read("controlplane", &s, &s.Common, args, groups, s.validate)
	// The initial members serve as seeds too: a process can ask them for the other members.
	for _, founder := range s.Founders {
		if !slices.Contains(s.Seeds, founder) {
			s.Seeds = append(s.Seeds, founder)
		}
	}
	return s, exit
}

// validate splits the lists in Founders, and records the violations of the settings.
func (s *ControlPlane) validate(v *validator) {
	s.Founders = splitLists(s.Founders)
	s.validateMemberID(v)
	s.validateFounders(v)
	if s.GoneAfter < minGoneAfter {
		v.addViolation("gone-after", s.GoneAfter, "2s or more")
	}
	if s.Data == "" {
		v.addViolation("data", s.Data, "a folder's path")
	}
}

// validateMemberID checks the static member ID. A replica must have one if it has no other member
// that it can ask to join.
func (s *ControlPlane) validateMemberID(v *validator) {
	joins := !s.HasStaticMember() && (s.First || len(s.Founders) > 0 || len(s.Seeds) > 0)
	if s.Slots < 1 || s.Slots > maxStaticMembers || s.Slots%2 == 0 {
		v.addViolation("slots", s.Slots, "1, 3, 5 or 7")
		return
	}
	if !joins && (s.Slot < 1 || s.Slot > s.Slots) {
		v.addViolation("slot", s.Slot, "1 to slots, or none, with founders or seeds to ask")
	}
}

// validateFounders checks the addresses of the initial members, and that First is set only together
// with them.
func (s *ControlPlane) validateFounders(v *validator) {
	for i, founder := range s.Founders {
		v.address("founders", founder, true)
		if slices.Contains(s.Founders[:i], founder) {
			v.addViolation("founders", founder, "given once")
		}
	}
	if len(s.Founders) > maxFounders {
		v.addViolation("founders", len(s.Founders), "at most 31 addresses")
	}
	if s.First && len(s.Founders) == 0 {
		v.addViolation("first", s.First, "given with founders only")
	}
}

// splitLists splits comma-separated values into one list, and drops empty items.
func splitLists(values []string) (items []string) {
	for _, value := range values {
		for item := range strings.SplitSeq(value, ",") {
			if item = strings.TrimSpace(item); item != "" {
				items = append(items, item)
			}
		}
	}
	return items
}
