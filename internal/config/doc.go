// Package config defines the replicated state of the control plane and the operator's configuration
// that it contains.
//
// A [Configuration] is the document that the operator submits: routes, contracts, services and
// limits. [Parse] decodes it and returns all its violations. A [ControlState] is the state that the
// replicas agree on at one revision: the bytes of the configuration, the evacuated zones, the
// maintenance calendar and the members. Between processes, a control state may be sent as a [Patch]
// of an earlier [Version].
//
// The JSON codec in config_easyjson.go is generated. (DESIGN 5)
package config
