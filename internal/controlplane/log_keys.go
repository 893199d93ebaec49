package controlplane

// The keys of the attributes of log lines.
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
