// Package endpoints keeps the backends of a sidecar's own machine and decides, as the last
// before a request reaches one of them, whether it may. (DESIGN 9)
//
// Backends announce themselves to their sidecar at every heartbeat. Registry is the
// immutable table of those that are there; announcements that are stale by what is known,
// as of a backend that has left, change nothing. Each Endpoint of it has an
// AdmissionController, which bounds the requests that run at the backend (AdmissionQueue)
// and the rate at which one that is warming up gets them (SlowStartLimiter).
//
// A sidecar admits only while it holds a Lease. Right after its process was frozen it ignores
// announcements, since they may have waited for long (WakeDetector).
package endpoints
