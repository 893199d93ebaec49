// Package e2e tests the compiled programs end to end. Each test starts a fleet of replicas and
// sidecars over loopback sockets, with the backends and clients of package fakes. The ledger of
// package ledger checks the recorded requests and runs against the rules of the system. Faults come
// from signals, from proxies between the machines, and from the clocks and disks of package fleet.
// (DESIGN 14)
package e2e
