package endpoints

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"curlewwalk/internal/config"
)

const (
	// maxInstanceLength is the length in bytes of the longest name of an instance.
	maxInstanceLength = 128
	// maxCapacity bounds the capacity that a backend may announce.
	maxCapacity = 100000 // (ours)
	// maxWarmup bounds the time for which a backend may announce that it is warming up.
	maxWarmup = time.Hour // (ours)
)

// Announcement is what a backend reports about itself at each heartbeat.
type Announcement struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// Address is the backend's IP address and port.
	Address string `json:"address"`
	// Zone is the backend's zone; empty for that of its sidecar.
	Zone string `json:"locality"`
	// Capacity is the number of requests that the warm backend can execute at a time.
	Capacity int `json:"capacity"`
	// Warmup is nil if the backend is warm.
	Warmup *Warmup `json:"warmup"`
	// Draining says that the backend is about to stop and takes no more requests.
	Draining bool `json:"leaving"`
	// Sequence rises with each announcement of an instance, so that one which arrives out
	// of order is recognized; zero if the backend does not number them.
	Sequence uint64 `json:"count,omitempty"`
}

// Warmup is the state of a backend that is warming up: either its share of capacity rises,
// or it bears only its service's rate of requests for a time.
type Warmup struct {
	// Share is the fraction of its capacity that the backend bears now: above 0, at most 1.
	Share float64 `json:"share"`
	// Ramp is the time until it bears all of its capacity, as a Go duration.
	Ramp string `json:"ramp"`
	// Remaining is the time for which it bears only its service's rate, as a Go duration.
	Remaining string `json:"left"`
}

// slowStart is the state of a backend's slow start, as its announcement tells it.
type slowStart struct {
	// share is the fraction of its capacity that it bears now, ramp the time until that
	// is 1.
	share float64
	ramp  time.Duration
	// remaining is the time for which it bears only its service's rate.
	remaining time.Duration
}

// violations are the faults of an announcement, worded for its sender.
type violations []string

func (v *violations) add(format string, args ...any) { *v = append(*v, fmt.Sprintf(format, args...)) }

// validate checks an announcement, and returns its slow start and its faults.
func (a *Announcement) validate() (slowStart, violations) {
	var faults violations
	if a.Instance == "" || len(a.Instance) > maxInstanceLength {
		faults.add("instance: must have 1 to %d bytes", maxInstanceLength)
	}
	if !config.IsValidName(a.Service) {
		faults.add("service: %q must be %s", a.Service, config.NameRules)
	}
	if addr, err := netip.ParseAddrPort(a.Address); err != nil || addr.Port() == 0 {
		faults.add("address: %q is no IP address and port", a.Address)
	}
	if a.Capacity < 1 || a.Capacity > maxCapacity {
		faults.add("capacity: %d is not from 1 to %d", a.Capacity, maxCapacity)
	}
	if a.Zone != "" && !config.IsValidName(a.Zone) {
		faults.add("locality: %q must be %s", a.Zone, config.NameRules)
	}
	if a.Warmup == nil {
		return slowStart{share: 1}, faults
	}
	start := a.Warmup.validate(&faults)
	return start, faults
}

// validate adds the faults of the slow start, and returns it.
func (w *Warmup) validate(faults *violations) (start slowStart) {
	start.share = w.Share
	if start.share == 0 && w.Remaining != "" {
		start.share = 1
	}
	if math.IsNaN(start.share) || start.share <= 0 || start.share > 1 {
		faults.add("warmup.share: %v is not above 0 and at most 1", w.Share)
	}
	var err error
	if w.Ramp != "" {
		start.ramp, err = time.ParseDuration(w.Ramp)
		if err != nil || start.ramp < 0 {
			faults.add("warmup.ramp: %q is no duration", w.Ramp)
		}
	}
	if w.Remaining != "" {
		start.remaining, err = time.ParseDuration(w.Remaining)
		if err != nil || start.remaining < 0 || start.remaining > maxWarmup {
			faults.add("warmup.left: %q is no duration of at most %v", w.Remaining, maxWarmup)
		}
	}
	return start
}
