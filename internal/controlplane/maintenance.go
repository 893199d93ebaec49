package controlplane

import (
	"context"
	"time"

	"curlewwalk/internal/clock"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/maintenance"
)

// maintenanceInterval is how often the core on duty looks at the maintenance windows.
const maintenanceInterval = time.Second // (ours)

// maintenanceScheduler has zones emptied and taken back as the maintenance windows say,
// while this core is on duty: through orders like an operator's. (DESIGN 17)
type maintenanceScheduler struct {
	node     *Node
	calendar maintenance.Calendar
	revision uint64 // of the calendar
}

// run looks in rhythm until ctx ends.
func (m *maintenanceScheduler) run(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if m.node.IsCoordinator() && m.node.replica.Acceptor().Phase == consensus.PhaseEstablished {
				m.applyWindows(ctx)
			}
		}
	}
}

// applyWindows orders what the windows ask for now.
func (m *maintenanceScheduler) applyWindows(ctx context.Context) {
	st, ok := m.node.directory.Status(ctx)
	if !ok || st.ControlState.CalendarRevision == 0 && len(st.ControlState.Closures) == 0 {
		return
	}
	if st.ControlState.CalendarRevision != m.revision {
		m.calendar, _ = parseCalendar(st.ControlState.Calendar)
		m.revision = st.ControlState.CalendarRevision
	}
	for _, s := range maintenance.Decide(m.calendar, st.ControlState.Closures, m.node.medianWallClock()) {
		command := consensus.Command{Kind: consensus.CommandEndWindow, Zone: s.Zone, Window: s.Window}
		if s.Start {
			command.Kind = consensus.CommandBeginWindow
		}
		result := m.node.execute(ctx, command)
		m.node.process.Log.Info("a maintenance window", "step", string(command.Kind), "locality", s.Zone, "window", s.Window, "taken", string(result.Outcome))
	}
}

// medianWallClock is the middle one of the cores' wall clocks.
func (n *Node) medianWallClock() time.Time {
	return n.discovery.Replicas().MedianClock(clock.Wall(), n.replica.Acceptor().Self.MemberID, time.Now())
}
