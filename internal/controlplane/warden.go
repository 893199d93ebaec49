package controlplane

import (
	"context"
	"time"

	"curlewwalk/internal/clock"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/maintenance"
)

// wardEvery is how often the core on duty looks at the maintenance windows.
const wardEvery = time.Second // (ours)

// warden has zones emptied and taken back as the maintenance windows say,
// while this core is on duty: through orders like an operator's. (DESIGN 17)
type warden struct {
	n        *Node
	calendar maintenance.Calendar
	stamp    uint64 // of the calendar
}

// run looks in rhythm until ctx ends.
func (w *warden) run(ctx context.Context) {
	tick := time.NewTicker(wardEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if w.n.IsCoordinator() && w.n.keeper.Acceptor().Phase == consensus.PhaseEstablished {
				w.look(ctx)
			}
		}
	}
}

// look orders what the windows ask for now.
func (w *warden) look(ctx context.Context) {
	st, ok := w.n.directory.Status(ctx)
	if !ok || st.ControlState.CalendarRevision == 0 && len(st.ControlState.Closures) == 0 {
		return
	}
	if st.ControlState.CalendarRevision != w.stamp {
		w.calendar, _ = read(st.ControlState.Calendar)
		w.stamp = st.ControlState.CalendarRevision
	}
	for _, s := range maintenance.Decide(w.calendar, st.ControlState.Closures, w.n.wall()) {
		o := consensus.Command{Kind: consensus.CommandEndWindow, Zone: s.Zone, Window: s.Window}
		if s.Begin {
			o.Kind = consensus.CommandBeginWindow
		}
		a := w.n.lead(ctx, o)
		w.n.p.Log.Info("a maintenance window", "step", string(o.Kind), "locality", s.Zone, "window", s.Window, "taken", string(a.Outcome))
	}
}

// wall is the middle one of the cores' wall clocks.
func (n *Node) wall() time.Time {
	return n.seeker.Replicas().MedianClock(clock.Wall(), n.keeper.Acceptor().Self.MemberID, time.Now())
}
