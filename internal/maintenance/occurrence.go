package maintenance

import "time"

// Occurrence is one maintenance window: a period during which a zone is evacuated. A recurring
// event has several occurrences.
type Occurrence struct {
	// ID is unique. It consists of the UID of the event and the start in UTC.
	ID      string    `json:"id"`
	Zone    string    `json:"locality"`
	Start   time.Time `json:"begin"`
	End     time.Time `json:"end"` // exclusive
	Summary string    `json:"summary,omitempty"`
}

// ActiveAt reports whether the window is active at now.
func (o Occurrence) ActiveAt(now time.Time) bool { return !now.Before(o.Start) && now.Before(o.End) }
