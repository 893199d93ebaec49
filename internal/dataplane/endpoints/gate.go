package endpoints

import "time"

// Ask is what an attempt wants of the gate.
type Ask struct {
	Service, Instance string
}

// Refusal says why the gate is shut; empty means open.
type Refusal string

// The refusals. But for Recalled, all of them come before a byte was written.
const (
	Open       Refusal = ""
	NoBackend  Refusal = "no-such-backend"
	Stale      Refusal = "backend-silent"
	LeavingNow Refusal = "backend-leaving"
	Emptied    Refusal = "locality-emptied"
	Full       Refusal = "backend-full"
	WrongBoot  Refusal = "wrong-incarnation"
	Expired    Refusal = "expired"
	Draining   Refusal = "node-draining"
	Lapsed     Refusal = "claim-lapsed"
	// Recalled is of an attempt that its sender wants no more, which ends one that was begun
	// as well, if that may be stopped.
	Recalled Refusal = "recalled"
)

// Check asks whether an attempt may go to its backend at this moment. (DESIGN 9.2)
func (r Roster) Check(a Ask, emptied func(zone string) bool, now time.Time) (Entry, Refusal) {
	e, ok := r.entries[a.Instance]
	switch {
	case !ok || e.Service != a.Service:
		return e, NoBackend
	case now.Sub(e.Heard) > r.Pace.Fresh():
		return e, Stale
	case e.Draining:
		return e, LeavingNow
	case emptied(e.Zone):
		return e, Emptied
	}
	return e, Open
}

// Stands tells whether an instance still has an address and is not leaving.
func (r Roster) Stands(instance, address string) bool {
	e, ok := r.entries[instance]
	return ok && e.Address == address && !e.Draining
}
