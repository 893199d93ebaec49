package endpoints

import "time"

// UsualBeat is how often backends announce themselves if the settings say nothing else.
const UsualBeat = 500 * time.Millisecond // (ours)

// Pace is how often backends announce themselves, and what follows from it.
type Pace struct{ Beat time.Duration }

// Fresh is how old a backend's last beat may be for new admissions: addresses pass to
// other services after about 2 s.
func (p Pace) Fresh() time.Duration { return 3 * p.beat() }

// Settled is how long after its start a process has heard all backends that are there:
// each announces itself once a beat, about.
func (p Pace) Settled() time.Duration { return 2 * p.beat() }

// Forget is when a silent backend is taken off the roster.
func (p Pace) Forget() time.Duration { return 10 * p.beat() }

func (p Pace) beat() time.Duration {
	if p.Beat <= 0 {
		return UsualBeat
	}
	return p.Beat
}
