// Package faultproxy has TCP proxies that listen on the addresses that processes advertise,
// while the processes bind elsewhere. By a Network the proxies delay, reset or refuse what
// passes between machines, as partitions, power losses and dead processes do. A machine is an
// IP address. (DESIGN 14.4)
package faultproxy
