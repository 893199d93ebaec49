// Package controlplane implements one replica of the control plane. The replica stores the control
// state (config.ControlState), which contains the operator's configuration, on its own disk. The
// replicas keep the control state as a single register that is written by Paxos; see package
// consensus. The replica serves the control state to the sidecars that watch it, and offers
// operators the /v1 API. (DESIGN 1)
//
// Texts and JSON names for operators use other words than the code: a replica is a core, the
// coordinator is the core on duty, a member ID is a slot, a revision is a stamp, a generation is an
// edition, the configuration is the desired one, a zone is a locality, an evacuated zone is
// emptied, a route is a way, and an attempt is a leg.
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
