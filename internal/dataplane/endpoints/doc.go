// Package endpoints keeps the backends on the machine of a sidecar, and makes the final decision on
// whether a request may be sent to one of them. (DESIGN 9)
//
// Backends announce themselves to their sidecar at every heartbeat. Registry is the immutable table
// of the known backends. A stale announcement, for example of a backend that has left, does not
// change the table. A backend departs by announcing that it is draining, or by a removal request.
// The departure of an instance is final: a later announcement does not restore it. The backends of
// a stopping sidecar are reported as draining too, but have not departed.
//
// Each Endpoint has an AdmissionController, which bounds the number of requests running at the
// backend (AdmissionQueue) and the request rate of a backend that is warming up (SlowStartLimiter).
//
// A sidecar admits requests only while it holds a Lease. For a short time after its process was
// suspended, the sidecar ignores announcements, since they may have been queued for a long time
// (ResumeDetector).
package endpoints
