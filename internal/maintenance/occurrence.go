package maintenance

import "time"

// Occurrence is one time at which a zone is to be emptied.
type Occurrence struct {
	// ID is that of the event and of its moment.
	ID      string    `json:"id"`
	Zone    string    `json:"locality"`
	Start   time.Time `json:"begin"`
	End     time.Time `json:"end"`
	Summary string    `json:"summary,omitempty"`
}

// ActiveAt tells whether it is going on.
func (o Occurrence) ActiveAt(now time.Time) bool { return !now.Before(o.Start) && now.Before(o.End) }
