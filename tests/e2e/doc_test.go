// Package e2e tests the programs as they are shipped: each test starts a fleet of replicas and
// sidecars over loopback sockets, with the backends and clients of package fakes, and judges
// the run by their ledger. Faults come from signals, from proxies between the machines, and
// from the clocks and disks of package fleet. (DESIGN 14)
package e2e
