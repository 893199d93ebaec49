package controlplane

import (
	"context"
	"log/slog"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/maintenance"
	"curlewwalk/internal/watch"
)

// maintenanceInterval is how often the coordinator checks the maintenance calendar.
const maintenanceInterval = time.Second // (ours)

// maintenanceScheduler begins and ends the maintenance windows of the calendar while this replica
// is the coordinator, by commands like an operator's. (DESIGN 17)
type maintenanceScheduler struct {
	cluster     *cluster
	commands    *commandRouter
	watchServer *watch.Server
	log         *slog.Logger

	// calendar is the one of the control state's calendar revision.
	calendar maintenance.Calendar
	revision uint64
}

// Run checks the calendar until ctx ends.
func (m *maintenanceScheduler) Run(ctx context.Context) {
	actor.Every(ctx, maintenanceInterval, func(ctx context.Context) {
		if m.cluster.IsCoordinator() && m.cluster.replica.Acceptor().Phase == consensus.PhaseEstablished {
			m.applyCalendar(ctx)
		}
	})
}

// applyCalendar submits what the calendar asks for now.
func (m *maintenanceScheduler) applyCalendar(ctx context.Context) {
	status, ok := m.watchServer.Status(ctx)
	state := status.ControlState
	if !ok || state.CalendarRevision == 0 && len(state.Closures) == 0 {
		return
	}
	if state.CalendarRevision != m.revision {
		m.calendar, _ = parseCalendar(state.Calendar) // it was valid when it was put
		m.revision = state.CalendarRevision
	}
	for _, action := range maintenance.Decide(m.calendar, state.Closures, m.cluster.medianWallClock()) {
		command := consensus.Command{Kind: consensus.CommandEndWindow, Zone: action.Zone, Window: action.Window}
		if action.Start {
			command.Kind = consensus.CommandBeginWindow
		}
		result := m.commands.execute(ctx, command)
		m.log.Info("maintenance window command executed",
			logCommand, string(command.Kind), logZone, command.Zone, logWindow, command.Window, logOutcome, string(result.Outcome))
	}
}
