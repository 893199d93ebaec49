package controlplane

// Attribute keys of log records.
const (
	logAddress    = "address"
	logCommand    = "command"
	logGeneration = "generation"
	logHighest    = "highest"
	logJoining    = "joining"
	logLeaving    = "leaving"
	logMember     = "member"
	logOutcome    = "outcome"
	logRevision   = "revision"
	logWindow     = "window"
	logZone       = "zone"
)
