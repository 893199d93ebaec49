// Package controlplane implements one replica of the control plane. The replica stores the
// operator's configuration in a replicated register on its own disk, serves it to the sidecars that
// watch it, and offers operators the /v1 API. (DESIGN 1)
//
// Node combines these components:
//
//   - consensus.Replica holds the replicated control state and commits changes to it;
//   - cluster tracks the other replicas and determines the coordinator, the live and healthy member
//     that executes commands;
//   - commandRouter routes commands from any replica to the coordinator;
//   - reconfigurer executes the membership changes that consensus.MembershipPlanner decides on, while
//     this replica is the coordinator;
//   - joinRequester requests membership while this replica is not a member;
//   - maintenanceScheduler evacuates and restores zones according to the maintenance calendar;
//   - watch.Server sends the control state and the table of sidecars to the sidecars;
//   - tracestore.Store collects the events of finished spans.
//
// Each component is an actor or runs its own loop. New starts the components. They stop when the
// context of the process ends.
package controlplane
