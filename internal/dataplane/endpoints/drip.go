package endpoints

import (
	"slices"
	"time"
)

// dripOver is the stretch over which a rate a second is held to: a bit more than a
// second, since what was let in evenly may arrive a bit closer. (ours)
const dripOver = 1020 * time.Millisecond

// Drip is a decision value: it lets in no more than a rate over any second. It counts
// the first second after the sidecar's own start as full, since a killed predecessor
// may have let in as many just before. (DESIGN 15.5)
type Drip struct{ let []time.Duration }

// Ask lets one in at a moment, or tells when there is room. up is how long the sidecar
// has been up.
func (d *Drip) Ask(rate float64, now, up time.Duration) (ok bool, back time.Duration) {
	most, over := int(rate), dripOver
	if most < 1 {
		// Less than one a second: one over as long as it takes.
		most, over = 1, time.Duration(float64(over)/max(rate, 1e-3))
	}
	if up < over {
		return false, over - up
	}
	d.let = slices.DeleteFunc(d.let, func(at time.Duration) bool { return now-at >= over })
	if len(d.let) >= most {
		return false, d.let[len(d.let)-most] + over - now
	}
	d.let = append(d.let, now)
	return true, 0
}
