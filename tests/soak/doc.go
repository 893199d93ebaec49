// Package soak runs whole fleets under overlapping faults and planned changes, which are drawn
// from a seed. Its clients keep their connections open until the process at the other end closes
// them or ends. A run is judged against the users' rules by the records of clients, backends and
// operators. (DESIGN 14.10)
//
// A Plan lists the faults and planned changes of a run. A Run plays a plan on a fleet and judges
// it. A Result is the outcome. A plan that breaks a rule can be shortened, printed and played
// again.
package soak
