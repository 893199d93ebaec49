package dataplane

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/config"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/watch"
)

// steward is the one thread of control state. It swaps whole the snapshots
// that traffic reads. (DESIGN 1.3)
type steward struct {
	box          *actor.Mailbox
	addr         string
	boot         uint64
	zone         string
	hasten       func()
	retryBudgets *retrybudget.ServiceBudgets
	budgets      *retrybudget.LatencyBudgets
	watcher      *membership.Prober
	inc          atomic.Uint64
	sleep        endpoints.WakeDetector

	copy *watch.Mirror

	roster atomic.Pointer[endpoints.Registry]
	table  atomic.Pointer[routing.Table]
	view   atomic.Pointer[membership.View]
	shown  atomic.Pointer[follows]
	claim  endpoints.Lease
	// agreed is the claim that a roll call gives while no majority of cores lives.
	agreed endpoints.Lease
	// spoken is the word that the table was made of.
	spoken atomic.Pointer[config.ControlState]
	// report limits how often new configurations hasten heartbeats.
	report reportLimit
	// climb is how zones are taken back.
	climb routing.SlowStart
	// departures tells what own backends said of leaving; held are their words of
	// leaving that no core holds yet.
	departures departures
	held       heldWords
}

// follows is what the steward shows of the feed.
type follows struct {
	Core  string    `json:"core"`
	Slot  int       `json:"slot"`
	Stamp uint64    `json:"stamp"`
	Since time.Time `json:"-"`
}

type (
	msgAnnounce struct {
		a     endpoints.Announcement
		reply chan<- []string
	}
	msgLeave struct {
		instance string
		reply    chan<- bool
	}
	// msgDeparted tells of instances that said to an earlier process that they leave.
	msgDeparted struct{ instances []string }
	// msgHeld tells that a core has this node in a revision.
	msgHeld struct{ rev uint64 }
	msgNews struct {
		core  membership.Replica
		n     watch.Updates
		asked time.Time
		taken chan<- bool
	}
	msgFound struct{ f membership.GossipUpdate }
	msgTick  struct{}
	msgPulse struct{}
	msgDrain struct{}
	msgLive  struct{ reply chan<- bool }
)

func newSteward(l *actor.Launcher, addr string, boot uint64, zone string, extraAttempts int, hasten func()) *steward {
	s := &steward{addr: addr, boot: boot, zone: zone, hasten: hasten, copy: watch.NewMirror()}
	s.watcher = membership.NewProber()
	s.retryBudgets, s.budgets = retrybudget.NewServiceBudgets(addr, extraAttempts), retrybudget.NewLatencyBudgets()
	s.roster.Store(&endpoints.Registry{})
	t, _ := routing.NewTable(config.ControlState{})
	s.table.Store(t)
	s.view.Store(membership.NewView(nil, nil))
	s.shown.Store(&follows{})
	s.box = l.Spawn("steward", s.on)
	return s
}

// told takes a core's response to a heartbeat. An accusation is refuted at once.
func (s *steward) told(ctx context.Context, told, h membership.Heartbeat) {
	if len(h.Departed) > 0 {
		s.box.Send(ctx, msgDeparted{h.Departed})
	}
	if boot, rev := told.NodeVersion(); boot == s.boot && !h.RequestFull && s.held.waiting.Load() {
		s.box.Send(ctx, msgHeld{rev})
	}
	if h.Budgets != nil {
		s.budgets.SetGlobal(h.Budgets)
	}
	for own := s.inc.Load(); h.Suspected != nil && *h.Suspected >= own; own = s.inc.Load() {
		if s.inc.CompareAndSwap(own, *h.Suspected+1) {
			s.hasten()
		}
	}
}

// run keeps time until ctx ends.
func (s *steward) run(ctx context.Context) {
	tick, pulse := time.NewTicker(membership.HeartbeatInterval), time.NewTicker(endpoints.WakeCheckInterval)
	defer tick.Stop()
	defer pulse.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.box.Send(ctx, msgTick{})
		case <-pulse.C:
			s.box.Send(ctx, msgPulse{})
		}
	}
}

// Node is what this sidecar tells of itself.
func (s *steward) node() membership.Node {
	r := s.roster.Load()
	return membership.Node{
		Addr: s.addr, Incarnation: s.boot, Version: r.Version, Zone: s.zone, AppliedRevision: s.table.Load().Revision, Backends: r.Backends(), Departed: r.RecentDepartures(), Refutation: s.inc.Load(), OpenRequests: r.Outstanding(),
		Suspects: s.watcher.Suspects(), Budgets: s.budgets.Local(),
	}
}

// services lists the services that ways lead to and backends are of.
func (s *steward) services() []string {
	return append(s.table.Load().Services(), s.view.Load().Services()...)
}

func (s *steward) on(_ context.Context, msg any) {
	now := time.Now()
	s.sleep.Check(now)
	switch m := msg.(type) {
	case msgAnnounce:
		if s.sleep.CatchingUp(now) && !m.a.Draining {
			// It may have piled up while the process was frozen, and its sender
			// be gone: the next beat will tell.
			m.reply <- nil
			return
		}
		before := s.roster.Load()
		next, faults := before.Announce(m.a, s.zone, now)
		s.departures.announced(m.a, *before, next)
		s.swapRoster(next)
		s.acknowledge(*before, next, now, func() { m.reply <- faults })
	case msgLeave:
		before := s.roster.Load()
		_, known := before.Lookup(m.instance)
		s.departures.left(m.instance, known, before.HasDeparted(m.instance))
		next := before.MarkDeparted(m.instance)
		s.swapRoster(next)
		s.acknowledge(*before, next, now, func() { m.reply <- known })
	case msgDeparted:
		s.swapRoster(s.roster.Load().MarkDeparted(m.instances...))
	case msgHeld:
		s.held.heard(m.rev)
	case msgDrain:
		s.swapRoster(s.roster.Load().Drain())
	case msgNews:
		s.take(m.core, m.n)
		s.claim.Renew(m.asked.Add(-m.n.Age))
		m.taken <- true
	case msgFound:
		s.found(m.f, now)
	case msgPulse:
		s.held.overdue(now)
		if s.report.tick(now) {
			s.hasten()
		}
	case msgTick:
		s.swapRoster(s.roster.Load().ExpireSilent(now))
		s.retryBudgets.SetNodes(slices.Sorted(maps.Keys(s.copy.Nodes)), now)
	case msgLive:
		m.reply <- true
	}
}

// acknowledge answers a backend: at once, unless it has just said that it leaves, which a
// core must hold first.
func (s *steward) acknowledge(before, after endpoints.Registry, now time.Time, answer func()) {
	if !after.DepartedSince(before) {
		answer()
		return
	}
	s.held.add(after.Version, now, answer)
}

func (s *steward) swapRoster(next endpoints.Registry) {
	next = next.ScaleShares(s.table.Load().WarmupRate, time.Now())
	changed := next.Version != s.roster.Load().Version
	s.roster.Store(&next)
	if changed {
		s.look()
		s.hasten()
	}
}

// look rebuilds the view. Of itself a node knows best.
func (s *steward) look() {
	s.copy.Nodes[s.addr] = s.node()
	s.view.Store(membership.NewView(s.copy.Nodes, s.view.Load()))
}

func (s *steward) take(core membership.Replica, n watch.Updates) {
	word, changed := s.copy.Apply(n)
	if word != nil {
		s.word(*word)
	}
	if changed {
		s.look()
	}
	s.shown.Store(&follows{Core: core.Addr, Slot: core.MemberID, Stamp: s.table.Load().Revision, Since: time.Now()})
}

// news is how old the news from the cores is.
func (s *steward) news(now time.Time) time.Duration { return now.Sub(s.shown.Load().Since) }

// found takes what other sidecars have, while no core tells: one round's finds at a
// time, so that the view is made anew once a round at most. (DESIGN 7.4)
func (s *steward) found(f membership.GossipUpdate, now time.Time) {
	if f.State != nil && s.copy.AdvanceTo(*f.State) {
		s.word(*f.State)
	}
	if s.news(now) < membership.ReplicaTimeout {
		return
	}
	if s.copy.MergeNodes(f.Nodes, f.Dead) {
		s.look()
	}
}

// word puts a word in force.
func (s *steward) word(state config.ControlState) {
	if t, ok := routing.NewTable(state); ok {
		t.SlowStart = s.climb
		t.ContinueSlowStart(s.table.Load(), time.Now())
		s.table.Store(t)
		s.spoken.Store(&state)
		if s.report.changed(time.Now()) {
			s.hasten()
		}
	}
}
