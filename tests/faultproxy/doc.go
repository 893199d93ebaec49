// Package faultproxy provides TCP proxies that inject network faults. A proxy listens on the
// address that a process advertises and forwards to the address on which the process listens.
// Under the control of a Network, the proxies delay, reset or refuse the traffic between
// machines, which simulates partitions, power losses and dead processes. A machine is identified
// by its IP address. (DESIGN 14.4)
package faultproxy
