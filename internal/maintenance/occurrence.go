package maintenance

import "time"

// Occurrence is one time at which a zone is to be emptied.
type Occurrence struct {
	// ID is that of the event and of its moment.
	ID      string    `json:"id"`
	Zone    string    `json:"locality"`
	Begin   time.Time `json:"begin"`
	End     time.Time `json:"end"`
	Summary string    `json:"summary,omitempty"`
}

// At tells whether it is going on.
func (o Occurrence) At(now time.Time) bool { return !now.Before(o.Begin) && now.Before(o.End) }
