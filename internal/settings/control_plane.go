package settings

import (
	"slices"
	"strings"
	"time"
)

// ControlPlane has the settings of a control plane node.
type ControlPlane struct {
	Common
	// Slot is the replica's static member ID, from 1; zero: it asks the members to join.
	Slot int `long:"slot" ini-name:"slot" description:"a static seat: which slot this core takes, from 1; without it the core asks the others for one"`
	// Slots is how many static members there are.
	Slots int `long:"slots" ini-name:"slots" default:"3" description:"how many slots a system of static seats begins with: 1, 3, 5 or 7"`
	// Founders are the initial members' transport addresses, in the order of their member IDs.
	Founders []string `long:"founders" ini-name:"founders" description:"wire address of a core that founds the system, in order; one a line, or several with commas"`
	// First is set at the first start of a new cluster.
	First bool `long:"first" ini-name:"first" description:"this is the first start of the whole system, on empty disks"`
	// GoneAfter is how long a member may be silent before it is removed or replaced.
	GoneAfter time.Duration `long:"gone-after" ini-name:"gone-after" default:"2500ms" description:"how long a core may be unheard before its seat is given to another"`
	// Data is the data directory.
	Data string `long:"data" ini-name:"data" description:"data folder (required)"`
}

// maxFounders bounds the members that a cluster is founded with.
const maxFounders = 31

const (
	// maxStaticMembers bounds the static members; their number is odd, as an even one tolerates no
	// more failures than one less.
	maxStaticMembers = 7
	// minGoneAfter is far enough above the heartbeat interval that a short pause removes nobody.
	minGoneAfter = 2 * time.Second
)

// HasStaticMember tells whether the replica has a member ID by its settings.
func (s ControlPlane) HasStaticMember() bool { return s.Slot != 0 }

// ReadControlPlane reads and validates the settings of a control plane node, those of groups with
// them. Exit tells whether the program is to end at once.
func ReadControlPlane(args []string, groups ...Group) (ControlPlane, Exit) {
	var s ControlPlane
	exit := read("controlplane", &s, &s.Common, args, groups, s.validate)
	// The initial members can be asked for the others as well.
	for _, founder := range s.Founders {
		if !slices.Contains(s.Seeds, founder) {
			s.Seeds = append(s.Seeds, founder)
		}
	}
	return s, exit
}

// validate fills in what depends on other settings and adds violations.
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

// validateMemberID checks the static member ID, which a replica must have that has nobody to ask
// to join.
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

// validateFounders checks the initial members.
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

// splitLists splits values that are lists with commas.
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
