// Package fleet runs a whole fleet on one host: control plane replicas, sidecars, and the backends
// and clients of package fakes. Each simulated machine is a separate loopback address with its own
// processes. Each fleet has its own range of addresses. The replicas and sidecars are real
// processes. Faults are injected by signals, by the proxies of package faultproxy, and by code that
// the build tag faultinjection includes, which makes wall clocks jump and disks fail. (DESIGN 14.1)
package fleet
