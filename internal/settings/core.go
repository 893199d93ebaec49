package settings

import (
	"slices"
	"strings"
	"time"
)

// Core are the control plane's settings.
type Core struct {
	Common
	Slot      int           `long:"slot" ini-name:"slot" description:"a static seat: which slot this core takes, from 1; without it the core asks the others for one"`
	Slots     int           `long:"slots" ini-name:"slots" default:"3" description:"how many slots a system of static seats begins with: 1, 3, 5 or 7"`
	Founders  []string      `long:"founders" ini-name:"founders" description:"wire address of a core that founds the system, in order; one a line, or several with commas"`
	First     bool          `long:"first" ini-name:"first" description:"this is the first start of the whole system, on empty disks"`
	GoneAfter time.Duration `long:"gone-after" ini-name:"gone-after" default:"2500ms" description:"how long a core may be unheard before its seat is given to another"`
	Data      string        `long:"data" ini-name:"data" description:"data folder (required)"`
}

// mostFounders bounds the set that a system begins with.
const mostFounders = 31

// Static tells whether the core has a seat by its settings.
func (s Core) Static() bool { return s.Slot != 0 }

// ReadCore reads and checks the settings of a core. Exit tells whether the program
// is to end at once, with which code and text.
func ReadCore(args []string, groups ...Group) (Core, Exit) {
	var s Core
	exit := read("controlplane", &s, &s.Common, args, groups, s.check)
	// Whoever founds the system can be asked for the others as well.
	for _, founder := range s.Founders {
		if !slices.Contains(s.Seeds, founder) {
			s.Seeds = append(s.Seeds, founder)
		}
	}
	return s, exit
}

// check reports what is wrong.
func (s *Core) check(c *checker) {
	s.Founders = split(s.Founders)
	s.checkSlot(c)
	s.checkFounders(c)
	if s.GoneAfter < 2*time.Second {
		c.bad("gone-after", s.GoneAfter, "2s or more")
	}
	if s.Data == "" {
		c.bad("data", s.Data, "a folder's path")
	}
}

// checkSlot checks the static slot, which a core must have that has nobody to ask
// for one.
func (s *Core) checkSlot(c *checker) {
	asks := !s.Static() && (s.First || len(s.Founders) > 0 || len(s.Seeds) > 0)
	if s.Slots < 1 || s.Slots > 7 || s.Slots%2 == 0 {
		c.bad("slots", s.Slots, "1, 3, 5 or 7")
		return
	}
	if !asks && (s.Slot < 1 || s.Slot > s.Slots) {
		c.bad("slot", s.Slot, "1 to slots, or none, with founders or seeds to ask")
	}
}

func (s *Core) checkFounders(c *checker) {
	for i, founder := range s.Founders {
		c.address("founders", founder, true)
		if slices.Contains(s.Founders[:i], founder) {
			c.bad("founders", founder, "given once")
		}
	}
	if len(s.Founders) > mostFounders {
		c.bad("founders", len(s.Founders), "at most 31 addresses")
	}
	if s.First && len(s.Founders) == 0 {
		c.bad("first", s.First, "given with founders only")
	}
}

// split takes lists with commas apart.
func split(lists []string) []string {
	var out []string
	for _, l := range lists {
		for _, a := range strings.Split(l, ",") {
			if a = strings.TrimSpace(a); a != "" {
				out = append(out, a)
			}
		}
	}
	return out
}
