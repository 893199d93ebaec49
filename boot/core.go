package boot

// Core are the control plane's settings.
type Core struct {
	Common
	Slot  int    `long:"slot" ini-name:"slot" description:"which slot this core takes, from 1 (required)"`
	Slots int    `long:"slots" ini-name:"slots" default:"3" description:"how many slots there are: 1, 3, 5 or 7"`
	Data  string `long:"data" ini-name:"data" description:"data folder (required)"`
}

// ReadCore reads and checks the settings of a core.
func ReadCore(args []string, groups ...Group) (Core, Exit) {
	var s Core
	exit := read("core", &s, &s.Common, args, groups, func(c *checker) {
		if s.Slots < 1 || s.Slots > 7 || s.Slots%2 == 0 {
			c.bad("slots", s.Slots, "1, 3, 5 or 7")
		} else if s.Slot < 1 || s.Slot > s.Slots {
			c.bad("slot", s.Slot, "1 to slots")
		}
		if s.Data == "" {
			c.bad("data", s.Data, "a folder's path")
		}
	})
	return s, exit
}
