// Package sidecar puts the parts of the data plane together. (DESIGN 1)
package sidecar

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/claim"
	"curlewwalk/collect"
	"curlewwalk/custody"
	"curlewwalk/feed"
	"curlewwalk/launch"
	"curlewwalk/lineage"
	"curlewwalk/membership"
	"curlewwalk/process"
	"curlewwalk/relay"
	"curlewwalk/rendezvous"
	"curlewwalk/roster"
	"curlewwalk/routing"
	"curlewwalk/settings"
	"curlewwalk/trace"
	"curlewwalk/wire"
)

// linger is how long a drained sidecar takes at most to say farewell on its clients'
// connections. (ours)
const linger = 2 * time.Second

// sureFor is how old a claim may be for a sidecar to say of itself that there is no way
// for a request: words are to be in force within it.
const sureFor = 2 * time.Second // (ours)

const (
	// workers is how many drain the trace queue. (ours)
	workers = 2
	// publishEvery is how long events wait for others to be published with. (ours)
	publishEvery = 300 * time.Millisecond
)

// Doors are how others than the project's own speak to a sidecar. (DESIGN 18)
type Doors struct {
	// Dialect words what callers and backends say.
	Dialect relay.Dialect
	// Open opens further addresses.
	Open func(n *Node)
}

// Node is a sidecar with its parts.
type Node struct {
	p        *process.Process
	set      settings.Sidecar
	steward  *steward
	seeker   *membership.Seeker
	near     *relay.Near
	far      *relay.Far
	holder   *custody.Holder
	queue    *trace.Queue
	outgoing *outgoing
	// draining: not ready, and no new attempts. closed: no new requests either.
	draining, closed atomic.Bool
	// giveUpAt is when what is open will be answered, of a node that is being stopped; nil
	// before. giveUp does so.
	giveUpAt atomic.Pointer[time.Time]
	giveUp   context.CancelCauseFunc
	reload   *process.Reloader
	webs     []*process.Web
}

// New puts the parts together and opens the addresses.
func New(set settings.Sidecar, doors *Doors) *Node {
	p := process.New("sidecar", set.Common)
	n := &Node{p: p, set: set, queue: trace.NewQueue(set.Advertise, p.Boot, set.TraceQueue)}
	n.seeker = membership.NewSeeker()
	n.steward = newSteward(p.Launcher, set.Advertise, p.Boot, set.Zone, set.ExtraAttempts, n.seeker.Hasten)
	n.steward.roster.Store(&roster.Roster{Pace: roster.Pace{Beat: set.Beat}})
	n.steward.climb = routing.Climb{For: set.Ramp, From: set.RampFrom}
	if set.Memory > 0 {
		debug.SetMemoryLimit(set.Memory << 20 * 85 / 100)
	}
	lin := lineage.NewKeeper()
	claims := claim.New(func(r relay.Response) int { return len(r.Body) })
	n.seeker.Own = func() membership.Heartbeat { nd := n.steward.node(); return membership.Heartbeat{Node: &nd} }
	n.seeker.Addr, n.seeker.Net, n.seeker.Launcher = set.Advertise, p.Net, p.Launcher
	n.reload = &process.Reloader{Seeker: n.seeker}
	n.reload.Apply(set.Common)
	n.seeker.Told = n.steward.told
	watcher := n.steward.watcher
	watcher.Own, watcher.Net, watcher.Launcher, watcher.Changed = set.Advertise, p.Net, p.Launcher, n.seeker.Hasten
	watcher.View = func() *membership.View { return n.steward.view.Load() }
	n.seeker.Heard = func(context.Context, membership.Seat) {}
	table := func() *routing.Table { return n.steward.table.Load() }
	n.near = &relay.Near{
		Zone: set.Zone, Table: table, View: func() *membership.View { return n.steward.view.Load() },
		Net: p.Net, Launcher: p.Launcher, Queue: n.queue, Log: p.Log, Lineage: lin, Claims: claims, RetryBudgets: n.steward.retryBudgets, Budgets: n.steward.budgets, Costs: routing.NewCosts(), Draining: n.shut, StopsAt: n.stopsAt,
	}
	n.near.Life, n.giveUp = context.WithCancelCause(p.Life)
	n.near.Shun = set.Shun
	n.near.Unsure, n.near.Behind = n.unsure, n.behind
	n.near.Home, n.near.Dialect, n.near.Hold, n.near.ComeBack, n.near.Late, n.near.Crossing = set.Caller, relay.Plain{}, set.Hold, set.ComeBack, set.Late, set.Crossing
	if doors != nil {
		n.near.Dialect = doors.Dialect
	}
	holder := custody.NewHolder()
	n.holder = holder
	maps.Copy(p.Host.Handlers, holder.Handlers())
	n.near.Bodies = &relay.Bodies{Most: set.MaxBody, All: set.BodyMemory}
	n.near.Custody = &custody.Owner{
		Own: set.Advertise, Boot: p.Boot, Zone: set.Zone, View: watcher.View, Net: p.Net, Launcher: p.Launcher,
		Known: n.known, Restore: n.near.Restore,
	}
	n.near.Custody.Begin()
	n.far = relay.NewFar(p.Life, p.Launcher)
	n.far.Boot, n.far.Table, n.far.Queue, n.far.Lineage, n.far.Draining = p.Boot, table, n.queue, lin, n.draining.Load
	n.far.Claimed, n.far.Dialect, n.far.Halving = n.claimed, n.near.Dialect, set.Halving
	n.far.Bodies = &relay.Bodies{Most: set.MaxBody, All: set.BodyMemory}
	rollcall := membership.NewRollcall()
	rollcall.Own, rollcall.Net, rollcall.Launcher, rollcall.Node, rollcall.View = set.Advertise, p.Net, p.Launcher, n.steward.node, watcher.View
	rollcall.Seats, rollcall.Word, rollcall.Seeds = n.seeker.Seats, n.steward.spoken.Load, n.seeker.Seeds
	rollcall.News, rollcall.Sure = n.steward.news, n.steward.agreed.Renew
	rollcall.Take = func(ctx context.Context, f membership.Found) {
		n.seeker.Hear(membership.Heartbeat{Know: f.Know})
		n.steward.box.Send(ctx, msgFound{f})
	}
	n.far.Roster = func() roster.Roster { return *n.steward.roster.Load() }
	n.outgoing = &outgoing{p: p, near: n.near, host: netip.MustParseAddrPort(set.Advertise).Addr(), fixed: set.Outgoing, known: n.steward.services, webs: map[string]*process.Web{}}

	p.Host.Handlers[membership.KindHeartbeat] = n.heartbeat
	p.Host.Handlers[membership.KindProbe] = func(context.Context, wire.Request) (any, string) {
		return membership.Probe{Boot: p.Boot, Inc: n.steward.inc.Load()}, ""
	}
	p.Host.Handlers[membership.KindGossip] = rollcall.Answer
	p.Host.Handlers[relay.KindAttempt] = n.far.Attempt
	p.Host.Handlers[relay.KindRecall] = n.far.Recall
	p.Host.Listener = p.Listen("wire", set.Wire)
	n.webs = append(n.webs, p.Serve(p.Listen("control", set.Control), n.control()))
	n.webs = append(n.webs, p.Serve(p.Listen("inquiries", set.Requests), n.near.Handler("")))
	for svc := range set.Outgoing {
		if _, err := n.outgoing.addr(svc); err != nil {
			p.Fail("outgoing "+svc, err)
		}
	}
	follower := &feed.Follower{
		Own: set.Advertise, Zone: set.Zone, Seats: n.seeker.Seats, Net: p.Net, Hasten: n.seeker.Hasten,
		Take: func(ctx context.Context, c membership.Seat, news feed.News, asked time.Time) {
			// No more is asked for before it is in force: of words that come faster
			// than that, the core then tells the newest only. (DESIGN 8.2)
			launch.Ask(ctx, n.steward.box, func(r chan<- bool) any { return msgNews{c, news, asked, r} })
		},
	}
	for name, run := range map[string]func(context.Context){
		"net": p.Net.Run, "host": p.Host.Run, "steward": n.steward.run, "seeker": n.seeker.Run,
		"lineage": lin.Run, "claims": claims.Run, "follower": follower.Run, "watcher": watcher.Run, "rollcall": rollcall.Run, "holder": holder.Run, "custody": n.near.Custody.Run,
	} {
		p.Launcher.Go(p.Life, name, run)
	}
	for range workers {
		w := &trace.Worker{Queue: n.queue, Choose: n.collector, Send: n.publish, Linger: publishEvery, MaxSize: 256}
		p.Launcher.Go(p.Life, "trace-worker", w.Run)
	}
	if doors != nil {
		doors.Open(n)
	}
	return n
}

// Run prints the signal of readiness, the addresses that really stand, and returns when
// the sidecar has been warned and stopped in order; read reads the settings again.
func (n *Node) Run(read func() (settings.Sidecar, settings.Exit)) {
	fmt.Fprintf(os.Stdout, "started wire=%s control=%s inquiries=%s\n", n.p.Host.Addr(), n.webs[0].Listener.Addr(), n.webs[1].Listener.Addr())
	n.p.Wait(func() {
		next, exit := read()
		n.reload.Reload(n.p, n.set, next, next.Common, exit)
	})
	n.stop()
}

// Process is the frame that the sidecar hangs in.
func (n *Node) Process() *process.Process { return n.p }

// claimed tells whether this sidecar may admit: its claim is young, or so many
// cores are dead that no newer word can be acknowledged, and most sidecars agree
// that there is none. (DESIGN 7.2, 7.4)
func (n *Node) claimed() bool {
	now := time.Now()
	return n.steward.claim.Age(now) <= roster.ClaimFor || n.steward.agreed.Age(now) <= roster.ClaimFor && n.seeker.Seats().NoMajority(now)
}

// unsure tells whether a newer word may have been in force elsewhere for so long that
// this sidecar's saying that there is no such way would be wrong. (DESIGN 7.2)
func (n *Node) unsure() bool {
	now := time.Now()
	return n.steward.claim.Age(now) > sureFor && (n.steward.agreed.Age(now) > roster.ClaimFor || !n.seeker.Seats().NoMajority(now))
}

// behind tells whether this sidecar must not choose routes by what it knows: a live core
// tells that a newer word is settled, and no core has been sure towards this sidecar for so
// long that the newer one is to be in force by now. One that hears no core at all goes on;
// who admits is bound by its own claim. (DESIGN 7.2)
func (n *Node) behind() bool {
	now := time.Now()
	return n.steward.claim.Age(now) > sureFor && n.seeker.Seats().SettledPast(n.steward.table.Load().Stamp, now)
}

// shut tells whether clients' requests are refused. The calls of an own backend belong
// to requests that were handed over: where they can't be told from clients', all that
// surely end before the stop does are taken while it runs one. (DESIGN 11.3)
func (n *Node) shut() bool {
	return n.closed.Load() && (n.set.Caller == "" || n.far.Counts.Open.Load() == 0)
}

// stopsAt tells until when what is still taken must have ended, once clients are refused.
func (n *Node) stopsAt() (end time.Time, stopping bool) {
	at := n.giveUpAt.Load()
	if at == nil || !n.closed.Load() {
		return time.Time{}, false
	}
	return *at, true
}

// heartbeat answers another process.
func (n *Node) heartbeat(_ context.Context, in wire.Request) (any, string) {
	var h membership.Heartbeat
	if !in.Into(&h) {
		return nil, "not a heartbeat"
	}
	return n.seeker.Answer(h, nil), ""
}

// collector is the first live core by rendezvous of the trace id, of those of the own
// zone if there are any. (DESIGN 2.6)
func (n *Node) collector(id trace.TraceID) (string, bool) {
	live := n.seeker.Seats().Live(time.Now())
	own := slices.DeleteFunc(slices.Clone(live), func(c membership.Seat) bool { return c.Zone != n.set.Zone })
	if len(own) > 0 {
		live = own
	}
	live = rendezvous.Rank(id.String(), live, func(c membership.Seat) string { return fmt.Sprint(c.Slot) })
	if len(live) == 0 {
		return "", false
	}
	return live[0].Addr, true
}

func (n *Node) publish(ctx context.Context, collector string, batch []trace.Event) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var t collect.Taken
	return n.p.Net.Call(ctx, collector, wire.Control, collect.KindPublish, collect.Batch{Events: slices.Clone(batch)}).Into(&t)
}
