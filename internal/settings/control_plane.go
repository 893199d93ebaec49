package settings

import (
	"slices"
	"strings"
	"time"
)

// ControlPlane are the control plane's settings.
type ControlPlane struct {
	Common
	Slot      int           `long:"slot" ini-name:"slot" description:"a static seat: which slot this core takes, from 1; without it the core asks the others for one"`
	Slots     int           `long:"slots" ini-name:"slots" default:"3" description:"how many slots a system of static seats begins with: 1, 3, 5 or 7"`
	Founders  []string      `long:"founders" ini-name:"founders" description:"wire address of a core that founds the system, in order; one a line, or several with commas"`
	First     bool          `long:"first" ini-name:"first" description:"this is the first start of the whole system, on empty disks"`
	GoneAfter time.Duration `long:"gone-after" ini-name:"gone-after" default:"2500ms" description:"how long a core may be unheard before its seat is given to another"`
	Data      string        `long:"data" ini-name:"data" description:"data folder (required)"`
}

// maxFounders bounds the set that a system begins with.
const maxFounders = 31

// HasStaticMember tells whether the core has a seat by its settings.
func (s ControlPlane) HasStaticMember() bool { return s.Slot != 0 }

// ReadControlPlane reads and checks the settings of a core. Exit tells whether the program
// is to end at once, with which code and text.
func ReadControlPlane(args []string, groups ...Group) (ControlPlane, Exit) {
	var s ControlPlane
	exit := read("controlplane", &s, &s.Common, args, groups, s.validate)
	// Whoever founds the system can be asked for the others as well.
	for _, founder := range s.Founders {
		if !slices.Contains(s.Seeds, founder) {
			s.Seeds = append(s.Seeds, founder)
		}
	}
	return s, exit
}

// validate reports what is wrong.
func (s *ControlPlane) validate(v *validator) {
	s.Founders = splitLists(s.Founders)
	s.validateMemberID(v)
	s.validateFounders(v)
	if s.GoneAfter < 2*time.Second {
		v.addViolation("gone-after", s.GoneAfter, "2s or more")
	}
	if s.Data == "" {
		v.addViolation("data", s.Data, "a folder's path")
	}
}

// validateMemberID checks the static slot, which a core must have that has nobody to ask
// for one.
func (s *ControlPlane) validateMemberID(v *validator) {
	asks := !s.HasStaticMember() && (s.First || len(s.Founders) > 0 || len(s.Seeds) > 0)
	if s.Slots < 1 || s.Slots > 7 || s.Slots%2 == 0 {
		v.addViolation("slots", s.Slots, "1, 3, 5 or 7")
		return
	}
	if !asks && (s.Slot < 1 || s.Slot > s.Slots) {
		v.addViolation("slot", s.Slot, "1 to slots, or none, with founders or seeds to ask")
	}
}

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

// splitLists takes lists with commas apart.
func splitLists(values []string) []string {
	var out []string
	for _, l := range values {
		for _, a := range strings.Split(l, ",") {
			if a = strings.TrimSpace(a); a != "" {
				out = append(out, a)
			}
		}
	}
	return out
}
