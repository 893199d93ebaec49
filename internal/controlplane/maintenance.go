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

// maintenanceInterval is the interval at which the coordinator checks the maintenance calendar.
const maintenanceInterval = time.Second

// maintenanceScheduler begins and ends the maintenance windows of the calendar while this replica
// is the coordinator. It does so by commands, as an operator does. (DESIGN 17)
type maintenanceScheduler struct {
	cluster     *cluster
	commands    *commandRouter
	watchServer *watch.Server
	log         *slog.Logger

	// calendar is the parsed calendar of the control state whose calendar revision is revision.
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

// applyCalendar executes the commands that the calendar requires now.
func (m *maintenanceScheduler) applyCalendar(ctx context.Context) {
	status, ok := m.watchServer.Status(ctx)
	state := status.ControlState
	if !ok || state.CalendarRevision == 0 && len(state.Closures) == 0 {
		return
	}
	if state.CalendarRevision != m.revision {
		m.calendar, _ = parseCalendar(state.Calendar) // the calendar was validated before it was committed
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
