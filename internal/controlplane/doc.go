// Package controlplane runs one replica of the control plane: it keeps the operator's
// configuration in a replicated register on its own disk, serves it to the sidecars that watch it,
// and offers operators the /v1 API. (DESIGN 1)
//
// Node puts the parts together:
//
//   - consensus.Replica holds the replicated control state and commits changes to it;
//   - cluster knows the other replicas, and which of them is the coordinator: the live and healthy
//     member that executes commands;
//   - commandRouter takes a command to the coordinator, from whichever replica it was given to;
//   - reconfigurer executes the membership changes that consensus.MembershipPlanner decides on, while
//     this replica is the coordinator, and joinRequester asks for membership while it is no member;
//   - maintenanceScheduler evacuates and restores zones by the maintenance calendar;
//   - watch.Server sends the control state and the table of sidecars to the sidecars;
//   - tracestore.Store collects the events of finished spans.
//
// Each part is an actor or a loop of its own, started by New and ended with the process's context.
package controlplane
