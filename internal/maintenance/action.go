package maintenance

import (
	"time"

	"curlewwalk/internal/config"
)

// Action is a change of the control state that the calendar requires: to begin a window, which
// evacuates its zone, or to end a window.
type Action struct {
	Zone string
	// Window is the ID of the Occurrence.
	Window string
	// Start is true if the window begins, and false if it ends.
	Start bool
}

// Decide compares the windows that are active at now with the windows that the control state
// records as begun, and returns the required actions. A recorded window is not begun again,
// regardless of which replica decides. (DESIGN 17.1)
func Decide(calendar Calendar, begun []config.ZoneClosure, now time.Time) (actions []Action) {
	recorded := map[string]bool{}
	for _, closure := range begun {
		recorded[closure.Window] = true
	}
	active := map[string]bool{}
	for _, occurrence := range calendar.Between(now, now) {
		if !occurrence.ActiveAt(now) {
			continue
		}
		active[occurrence.ID] = true
		if !recorded[occurrence.ID] {
			actions = append(actions, Action{Zone: occurrence.Zone, Window: occurrence.ID, Start: true})
		}
	}
	for _, closure := range begun {
		if !active[closure.Window] {
			actions = append(actions, Action{Zone: closure.Zone, Window: closure.Window})
		}
	}
	return actions
}
