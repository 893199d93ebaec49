// Package config holds the replicated state of the control plane and the operator's configuration
// in it.
//
// A [Configuration] is what the operator submits: routes, contracts, services and limits. [Parse]
// reads it and lists all its violations. A [ControlState] is what the replicas agree on: the
// configuration's bytes, the evacuated zones, the maintenance calendar and the members, at one
// revision. Between processes a control state may be sent as a [Patch] of an earlier [Version].
//
// The JSON codec in config_easyjson.go is generated. Constants marked (ours) are our own choice of
// a value. (DESIGN 5)
package config
