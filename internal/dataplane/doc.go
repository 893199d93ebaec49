// Package dataplane assembles the parts of a sidecar process and serves the sidecar's
// operator API. (DESIGN 1)
//
// A sidecar runs on the same machine as the callers and backends that it serves. A caller is a
// client or a backend. A caller's request arrives at proxy.Outbound. Outbound chooses a backend
// from the routing table and sends an attempt to the sidecar on that backend's machine. There,
// proxy.Inbound admits the attempt and runs it. The backends on the sidecar's machine are its
// own backends.
//
// The agent, an actor, owns all control state of the process. Configuration updates, gossip,
// and announcements of the sidecar's own backends reach the agent as messages. In response
// the agent replaces immutable snapshots: the routing table, the membership view, and the
// endpoint registry. The request path reads these snapshots without locking. (DESIGN 1.3)
package dataplane
