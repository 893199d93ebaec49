// Package dataplane wires the parts of a sidecar together and serves its operator API.
// (DESIGN 1)
//
// A sidecar stands beside the callers and the backends of one machine. A request enters
// at proxy.Outbound, which chooses a backend by the routing table and sends an attempt to
// the sidecar beside it; there proxy.Inbound admits the attempt and runs it.
//
// All control state of the process belongs to the agent, an actor. Everything that other
// processes report (configuration updates, gossip, announcements of own backends) reaches
// it as a message; it replaces immutable snapshots (routing table, membership view,
// endpoint registry) that the request path reads without a lock. (DESIGN 1.3)
package dataplane
