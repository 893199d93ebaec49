package maintenance

import (
	"time"

	"curlewwalk/internal/config"
)

// Action is what the windows ask of the operator's word now: that a zone be
// emptied for a window, or that a window be over.
type Action struct {
	Zone, Window string
	Start        bool
}

// Decide compares the windows that go on with those that the word has noted.
// What is noted is never begun again, whoever decides. (DESIGN 17.1)
func Decide(c Calendar, begun []config.ZoneClosure, now time.Time) (out []Action) {
	active := map[string]bool{}
	known := map[string]bool{}
	for _, n := range begun {
		known[n.Window] = true
	}
	for _, o := range c.Between(now, now) {
		if active[o.ID] = o.ActiveAt(now); active[o.ID] && !known[o.ID] {
			out = append(out, Action{Zone: o.Zone, Window: o.ID, Start: true})
		}
	}
	for _, n := range begun {
		if !active[n.Window] {
			out = append(out, Action{Zone: n.Zone, Window: n.Window})
		}
	}
	return out
}
