package settings

import (
	"fmt"
	"time"

	"curlewwalk/internal/transport"
)

// maxBodyLimit is the maximum of MaxBody, in bytes. A transport frame carries a body together with an
// attempt's headers and trailers, for which 4 MiB are left.
const maxBodyLimit = transport.MaxFrameSize - 4<<20

// defaultBodyMemory is the default of BodyMemory, in bytes. A quarter of Memory is used instead if
// Memory is set and that is less.
const defaultBodyMemory = 256 << 20

// Sidecar contains the settings of a sidecar.
type Sidecar struct {
	Common
	// Requests is the address that clients send requests to.
	Requests string `long:"inquiries" ini-name:"inquiries" description:"address where this machine's clients send requests (IP:port, required)"`
	// Outgoing maps a backend's service to the fixed address for the backend's outgoing calls.
	Outgoing map[string]string `long:"outgoing" ini-name:"outgoing" description:"fixed address for the outgoing calls of a backend service (service:IP:port); else one is chosen and told to the backend"`
	// Caller is the service that all callers on this machine belong to. It is empty if they belong to
	// different services.
	Caller string `long:"caller" ini-name:"caller" description:"service that all callers on this machine belong to, if they are one's; else each service has an address of its own"`
	// MaxBody is the maximum size of a request or response body, in bytes.
	MaxBody int64 `long:"max-body" ini-name:"max-body" default:"16777216" description:"largest body of an inquiry or an answer, in bytes"`
	// BodyMemory is the maximum total size of the request bodies in memory at a time, in bytes.
	BodyMemory int64 `long:"body-memory" ini-name:"body-memory" description:"bodies of inquiries that are held at a time, in bytes; if it is not given, 268435456 or a quarter of memory"`
	// Memory is the process's memory limit, in MiB. Zero means no limit.
	Memory int64 `long:"memory" ini-name:"memory" default:"0" description:"memory that the process may have, in MiB; 0: no bound"`
	// ServeOn is how long new requests are still accepted during a graceful shutdown. If it is more
	// than half of Drain, half of Drain is used instead.
	ServeOn time.Duration `long:"serve-on" ini-name:"serve-on" default:"0s" description:"how long clients' inquiries are still taken after a warning to stop, at most half of drain"`
	// Hold is the share of a request's latency target for which it may wait in the admission queue.
	Hold float64 `long:"hold" ini-name:"hold" default:"0" description:"part of its aim for which an inquiry may be held for a place when there is none, 0 to 0.5"`
	// Crossing is the cross-zone cost of a request, as a share of the value of a response within the
	// latency target.
	Crossing float64 `long:"crossing" ini-name:"crossing" default:"0" description:"price of carrying a usual inquiry to another locality, as a part of what being in time is worth, 0 to 1; 0 leaves the own one as soon as it is busy"`
	// Late is true if a response after the latency target is better than none. Requests that can only
	// be late then wait for the capacity that the others leave.
	Late bool `long:"late" ini-name:"late" description:"an answer past its aim is better than none: inquiries that can only be late wait for what the others leave"`
	// ComeBack is the minimum Retry-After of a rejected request.
	ComeBack time.Duration `long:"come-back" ini-name:"come-back" default:"1s" description:"when a refused client may come again at the soonest"`
	// NoKeys is true if no client sends idempotency keys.
	NoKeys bool `long:"no-keys" ini-name:"no-keys" description:"no client sends an Idempotency-Key: readiness need not wait for claims of an earlier life"`
	// ExtraAttempts is the fixed part of a service's retry budget, in attempts over any 10 s.
	ExtraAttempts int `long:"extra-legs" ini-name:"extra-legs" default:"20" description:"extra legs to a service that all sidecars together may make beyond a fifth of its traffic, over any 10 s"`
	// Beat is the heartbeat interval of backends.
	Beat time.Duration `long:"beat" ini-name:"beat" default:"500ms" description:"how often backends announce themselves: one is given nothing new after 3 such, and forgotten after 10"`
	// Halving is how long after the start, at most, a backend is given only half its capacity, because
	// requests that a killed sidecar admitted may still be running. Zero disables this.
	Halving time.Duration `long:"fresh-halving" ini-name:"fresh-halving" default:"10s" description:"how long after the start, at most, backends are given half of what they bear, as runs that a killed sidecar let in may go on; 0s: never"`
	// Shun is how long a backend stays ejected after a failure.
	Shun time.Duration `long:"shun" ini-name:"shun" default:"1s" description:"how long a backend that failed is left out of the choice"`
	// Ramp is the duration of the slow start of a zone's backends after an evacuation of the zone.
	Ramp time.Duration `long:"ramp" ini-name:"ramp" default:"10s" description:"how long a locality that is taken back takes to be given all that its backends bear"`
	// RampFrom is the share of the zone's capacity at the beginning of the slow start.
	RampFrom float64 `long:"ramp-from" ini-name:"ramp-from" default:"0.2" description:"the share that it begins with"`
	// TraceQueue is the maximum number of trace events that wait to be published.
	TraceQueue int `long:"trace-queue" ini-name:"trace-queue" default:"8192" description:"events that may wait to be published"`
}

// ReadSidecar reads and validates the settings of a sidecar, together with those of groups. Exit
// reports whether the program must exit instead of running.
func ReadSidecar(args []string, groups ...Group) (Sidecar, Exit) {
	var s Sidecar
	exit := read("sidecar", &s, &s.Common, args, groups, s.validate)
	return s, exit
}

// validate sets BodyMemory if it is not given, and records the violations of the settings. Only the
// first violation is printed, so the order of the checks matters.
func (s *Sidecar) validate(v *validator) {
	v.address("inquiries", s.Requests, true)
	for service, addr := range s.Outgoing {
		v.address("outgoing "+service, addr, true)
	}
	s.validateSizes(v)
	v.duration("beat", s.Beat, 50*time.Millisecond, 10*time.Second)
	v.duration("fresh-halving", s.Halving, 0, time.Minute)
	v.duration("shun", s.Shun, 0, time.Minute)
	v.duration("ramp", s.Ramp, 0, time.Minute)
	if !(s.RampFrom > 0 && s.RampFrom <= 1) {
		v.addViolation("ramp-from", s.RampFrom, "above 0 and at most 1")
	}
	if s.BodyMemory < s.MaxBody {
		v.addViolation("body-memory", s.BodyMemory, "at least max-body")
	}
	if s.ServeOn < 0 {
		v.addViolation("serve-on", s.ServeOn, "a duration of 0s or more")
	}
	v.share("hold", s.Hold, 0.5)
	v.share("crossing", s.Crossing, 1)
	if s.ComeBack <= 0 {
		v.addViolation("come-back", s.ComeBack, "a duration of more than 0s")
	}
	v.atLeast("extra-legs", s.ExtraAttempts, 0)
	v.atLeast("trace-queue", s.TraceQueue, 1)
}

// validateSizes checks MaxBody and Memory, and sets BodyMemory to its default if it is not given.
func (s *Sidecar) validateSizes(v *validator) {
	if s.MaxBody < 1<<10 || s.MaxBody > maxBodyLimit {
		v.addViolation("max-body", s.MaxBody, fmt.Sprintf("1024 to %d", maxBodyLimit))
	}
	if s.Memory != 0 && (s.Memory > 1<<30 || s.bodyMemoryShare() < s.MaxBody) {
		v.addViolation("memory", s.Memory, "0, or at least 4 times max-body")
	}
	if s.BodyMemory != 0 {
		return
	}
	s.BodyMemory = defaultBodyMemory
	if s.Memory > 0 {
		s.BodyMemory = min(defaultBodyMemory, s.bodyMemoryShare())
	}
}

// bodyMemoryShare returns the part of Memory that request bodies may occupy, in bytes: a quarter.
func (s *Sidecar) bodyMemoryShare() int64 { return s.Memory << 20 / 4 }
