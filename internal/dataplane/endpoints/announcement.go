package endpoints

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"curlewwalk/internal/config"
)

const (
	// maxInstanceLength is the maximum length of an instance name in bytes.
	maxInstanceLength = 128
	// maxCapacity is the maximum capacity, in concurrent requests, that a backend may announce.
	maxCapacity = 100000
	// maxWarmup is the maximum remaining warm-up time that a backend may announce.
	maxWarmup = time.Hour
)

// Announcement is the state that a backend reports about itself at each heartbeat.
type Announcement struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// Address is the backend's IP address and port.
	Address string `json:"address"`
	// Zone is the backend's zone. If it is empty, the backend is in the zone of its sidecar.
	Zone string `json:"locality"`
	// Capacity is the number of requests that the backend can run concurrently after its warm-up.
	Capacity int `json:"capacity"`
	// Warmup is nil if the backend is warm.
	Warmup *Warmup `json:"warmup"`
	// Draining means that the backend is about to stop and accepts no more requests.
	Draining bool `json:"leaving"`
	// Sequence increases with each announcement of an instance, so that announcements that arrive
	// out of order are detected. It is zero if the backend does not number its announcements.
	Sequence uint64 `json:"count,omitempty"`
}

// Warmup is the state of a backend that is warming up. Either its share of the capacity rises, or
// its request rate is limited to the warm-up rate of its service for a time.
type Warmup struct {
	// Share is the fraction of its capacity that the backend can use now: greater than 0, at most
	// 1. If Remaining is set, 0 means 1.
	Share float64 `json:"share"`
	// Ramp is the time until the backend can use its full capacity, as a Go duration.
	Ramp string `json:"ramp"`
	// Remaining is the time for which the backend is limited to the warm-up rate of its service, as
	// a Go duration.
	Remaining string `json:"left"`
}

// slowStart is the parsed warm-up state of an announcement. It concerns one backend, whereas
// routing.SlowStart concerns a zone.
type slowStart struct {
	// share is the fraction of the capacity that the backend can use now. ramp is the time until
	// the share is 1.
	share float64
	ramp  time.Duration
	// remaining is the time for which the backend is limited to the warm-up rate of its service.
	remaining time.Duration
}

// violations are the errors in an announcement. Their texts are returned to its sender.
type violations []string

func (v *violations) add(format string, args ...any) { *v = append(*v, fmt.Sprintf(format, args...)) }

// validate checks an announcement, and returns its slow start and its errors.
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

// validate returns the slow start, and adds its errors to faults.
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
