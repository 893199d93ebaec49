// Package soak runs whole fleets under overlapping faults and planned changes, drawn by a
// seed, with clients that use their connections until the process is gone. It judges a run by
// what clients, backends and operators saw, against the users' rules. (DESIGN 14.10)
//
// A Plan lists what happens; a Run plays it on a fleet and judges it; a Result is the outcome.
// A plan that breaks a rule can be shortened, printed and played again.
package soak
