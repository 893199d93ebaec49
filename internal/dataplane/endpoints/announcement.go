// Package endpoints keeps a sidecar's own backends and is the last gate before a
// backend. (DESIGN 9)
package endpoints

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"curlewwalk/internal/config"
)

// Announcement is what a backend says of itself about once a beat.
type Announcement struct {
	Instance string  `json:"instance"`
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"locality"`
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

// faults collects what is wrong with an announcement, in words for its sender.
type faults []string

func (f *faults) add(format string, args ...any) { *f = append(*f, fmt.Sprintf(format, args...)) }

// check lists what is wrong and reads the warmup.
func (a *Announcement) check() (share float64, ramp, left time.Duration, wrong []string) {
	var f faults
	if a.Instance == "" || len(a.Instance) > 128 {
		f.add("instance: must have 1 to 128 bytes")
	}
	if !config.IsValidName(a.Service) {
		f.add("service: %q must be %s", a.Service, config.NameRules)
	}
	if addr, err := netip.ParseAddrPort(a.Address); err != nil || addr.Port() == 0 {
		f.add("address: %q is no IP address and port", a.Address)
	}
	if a.Capacity < 1 || a.Capacity > mostCapacity {
		f.add("capacity: %d is not from 1 to %d", a.Capacity, mostCapacity)
	}
	if a.Zone != "" && !config.IsValidName(a.Zone) {
		f.add("locality: %q must be %s", a.Zone, config.NameRules)
	}
	if a.Warmup == nil {
		return 1, 0, 0, f
	}
	share, ramp, left = a.Warmup.read(&f)
	return share, ramp, left, f
}

// read reads the share of its capacity that the backend can bear now, how long
// until it can bear all of it, and how much longer it bears only its service's rate.
func (w *Warmup) read(f *faults) (share float64, ramp, left time.Duration) {
	share = w.Share
	if share == 0 && w.Left != "" {
		share = 1
	}
	if math.IsNaN(share) || share <= 0 || share > 1 {
		f.add("warmup.share: %v is not above 0 and at most 1", w.Share)
	}
	var err error
	if w.Ramp != "" {
		ramp, err = time.ParseDuration(w.Ramp)
		if err != nil || ramp < 0 {
			f.add("warmup.ramp: %q is no duration", w.Ramp)
		}
	}
	if w.Left != "" {
		left, err = time.ParseDuration(w.Left)
		if err != nil || left < 0 || left > mostLeft {
			f.add("warmup.left: %q is no duration of at most %v", w.Left, mostLeft)
		}
	}
	return share, ramp, left
}
