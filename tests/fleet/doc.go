// Package fleet runs a whole fleet on one machine: control plane replicas, sidecars, and the
// backends and clients of package fakes. Each "machine" is a loopback address of its own
// with its own processes, and each fleet has a range of addresses to itself. The programs
// are real; faults come from signals, from the proxies of package faultproxy, and from the
// build tag faultinjection, which lets wall clocks jump and disks fail. (DESIGN 14.1)
package fleet
