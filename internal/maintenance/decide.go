package maintenance

import (
	"time"

	"curlewwalk/internal/config"
)

// Step is what the windows ask of the operator's word now: that a zone be
// emptied for a window, or that a window be over.
type Step struct {
	Zone, Window string
	Begin        bool
}

// Decide compares the windows that go on with those that the word has noted.
// What is noted is never begun again, whoever decides. (DESIGN 17.1)
func Decide(c Calendar, noted []config.ZoneClosure, now time.Time) (out []Step) {
	going := map[string]bool{}
	known := map[string]bool{}
	for _, n := range noted {
		known[n.Window] = true
	}
	for _, o := range c.Between(now, now) {
		if going[o.ID] = o.At(now); going[o.ID] && !known[o.ID] {
			out = append(out, Step{Zone: o.Zone, Window: o.ID, Begin: true})
		}
	}
	for _, n := range noted {
		if !going[n.Window] {
			out = append(out, Step{Zone: n.Zone, Window: n.Window})
		}
	}
	return out
}
