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
	Draining bool    `json:"leaving"`
	// Sequence rises with each announcement of an instance, so that an overtaken one is
	// known; zero if it does not say.
	Sequence uint64 `json:"count,omitempty"`
}

// Warmup is how much of its capacity a cold backend can bear now, and how long
// until it can bear all of it; or how much longer it bears only its service's rate.
type Warmup struct {
	Share     float64 `json:"share"`
	Ramp      string  `json:"ramp"`
	Remaining string  `json:"left"`
}

// maxWarmup bounds for how long a backend may say that it is cold. (ours)
const maxWarmup = time.Hour

// maxCapacity bounds what a backend may say that it can bear. (ours)
const maxCapacity = 100000

// violations collects what is wrong with an announcement, in words for its sender.
type violations []string

func (f *violations) add(format string, args ...any) { *f = append(*f, fmt.Sprintf(format, args...)) }

// validate lists what is wrong and reads the warmup.
func (a *Announcement) validate() (share float64, ramp, remaining time.Duration, wrong []string) {
	var f violations
	if a.Instance == "" || len(a.Instance) > 128 {
		f.add("instance: must have 1 to 128 bytes")
	}
	if !config.IsValidName(a.Service) {
		f.add("service: %q must be %s", a.Service, config.NameRules)
	}
	if addr, err := netip.ParseAddrPort(a.Address); err != nil || addr.Port() == 0 {
		f.add("address: %q is no IP address and port", a.Address)
	}
	if a.Capacity < 1 || a.Capacity > maxCapacity {
		f.add("capacity: %d is not from 1 to %d", a.Capacity, maxCapacity)
	}
	if a.Zone != "" && !config.IsValidName(a.Zone) {
		f.add("locality: %q must be %s", a.Zone, config.NameRules)
	}
	if a.Warmup == nil {
		return 1, 0, 0, f
	}
	share, ramp, remaining = a.Warmup.parse(&f)
	return share, ramp, remaining, f
}

// parse reads the share of its capacity that the backend can bear now, how long
// until it can bear all of it, and how much longer it bears only its service's rate.
func (w *Warmup) parse(f *violations) (share float64, ramp, remaining time.Duration) {
	share = w.Share
	if share == 0 && w.Remaining != "" {
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
	if w.Remaining != "" {
		remaining, err = time.ParseDuration(w.Remaining)
		if err != nil || remaining < 0 || remaining > maxWarmup {
			f.add("warmup.left: %q is no duration of at most %v", w.Remaining, maxWarmup)
		}
	}
	return share, ramp, remaining
}
