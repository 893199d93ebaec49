package maintenance

import "time"

// Occurrence is one maintenance window: a time during which a zone is evacuated. An event that
// recurs has many.
type Occurrence struct {
	// ID is unique: the event's UID and the start, in UTC.
	ID      string    `json:"id"`
	Zone    string    `json:"locality"`
	Start   time.Time `json:"begin"`
	End     time.Time `json:"end"` // exclusive
	Summary string    `json:"summary,omitempty"`
}

// ActiveAt tells whether now is in the window.
func (o Occurrence) ActiveAt(now time.Time) bool { return !now.Before(o.Start) && now.Before(o.End) }
