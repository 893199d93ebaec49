// Package roster keeps a sidecar's own backends and is the last gate before a
// backend. (DESIGN 9)
package roster

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"curlewwalk/desired"
)

// Announcement is what a backend says of itself about once a beat.
type Announcement struct {
	Instance string  `json:"instance"`
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Locality string  `json:"locality"`
	Capacity int     `json:"capacity"`
	Warmup   *Warmup `json:"warmup"`
	Leaving  bool    `json:"leaving"`
	// Count rises with each announcement of an instance, so that an overtaken one is
	// known; zero if it does not say.
	Count uint64 `json:"count,omitempty"`
}

// Warmup is how much of its capacity a cold backend can bear now, and how long
// until it can bear all of it; or how much longer it bears only its service's rate.
type Warmup struct {
	Share float64 `json:"share"`
	Ramp  string  `json:"ramp"`
	Left  string  `json:"left"`
}

// mostLeft bounds for how long a backend may say that it is cold. (ours)
const mostLeft = time.Hour

// mostCapacity bounds what a backend may say that it can bear. (ours)
const mostCapacity = 100000

// check lists what is wrong and reads the warmup.
func (a *Announcement) check() (share float64, ramp, left time.Duration, faults []string) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if a.Instance == "" || len(a.Instance) > 128 {
		fault("instance: must have 1 to 128 bytes")
	}
	if !desired.IsName(a.Service) {
		fault("service: %q must be %s", a.Service, desired.NameForm)
	}
	if ap, err := netip.ParseAddrPort(a.Address); err != nil || ap.Port() == 0 {
		fault("address: %q is no IP address and port", a.Address)
	}
	if a.Capacity < 1 || a.Capacity > mostCapacity {
		fault("capacity: %d is not from 1 to %d", a.Capacity, mostCapacity)
	}
	if a.Locality != "" && !desired.IsName(a.Locality) {
		fault("locality: %q must be %s", a.Locality, desired.NameForm)
	}
	share = 1
	if w := a.Warmup; w != nil {
		if share = w.Share; share == 0 && w.Left != "" {
			share = 1
		}
		if math.IsNaN(share) || share <= 0 || share > 1 {
			fault("warmup.share: %v is not above 0 and at most 1", w.Share)
		}
		if w.Ramp != "" {
			var err error
			if ramp, err = time.ParseDuration(w.Ramp); err != nil || ramp < 0 {
				fault("warmup.ramp: %q is no duration", w.Ramp)
			}
		}
		if w.Left != "" {
			var err error
			if left, err = time.ParseDuration(w.Left); err != nil || left < 0 || left > mostLeft {
				fault("warmup.left: %q is no duration of at most %v", w.Left, mostLeft)
			}
		}
	}
	return share, ramp, left, faults
}
