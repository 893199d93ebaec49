package controlplane

import (
	"context"
	"slices"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/transport"
)

// seatLimit is how long a core that asks for a seat waits for the answer.
const seatLimit = 2 * time.Second // (ours)

// restFor is how long operators' orders have the proposer for themselves after a change
// of the set that was not taken.
const restFor = time.Second // (ours)

// usher gives slots to cores that ask for one while this core is on duty, and has
// the set of slots changed. (DESIGN 6.5)
type usher struct {
	n     *Node
	box   *actor.Mailbox
	value consensus.Reconfigurer
	start time.Time
	busy  bool          // an order for a change is under way
	rest  time.Duration // none before this
}

type (
	msgAsk struct {
		a consensus.JoinRequest
	}
	msgLook struct{}
	msgDone struct{ taken bool }
)

// heed is the answer to a core that asks for a seat: its asking was heard.
type heed struct {
	Heard bool `msgpack:"h"`
}

func newUsher(n *Node) *usher {
	// A core counts as not live once it was unheard for Silence; the usher waits out
	// the rest.
	u := &usher{n: n, start: time.Now(), value: consensus.Reconfigurer{RemovalDelay: max(0, n.set.GoneAfter-membership.ReplicaTimeout)}}
	u.box = n.p.Launcher.Spawn("usher", u.on)
	return u
}

// run looks in rhythm until ctx ends.
func (u *usher) run(ctx context.Context) {
	tick := time.NewTicker(membership.HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			u.box.Send(ctx, msgLook{})
		}
	}
}

// asked answers a core that asks for a seat; what is not for this core is passed on
// to the one on duty.
func (u *usher) asked(ctx context.Context, in transport.Request) (any, string) {
	var a consensus.JoinRequest
	if !in.Into(&a) {
		return nil, "does not ask for a seat"
	}
	ctx, cancel := context.WithTimeout(ctx, seatLimit)
	defer cancel()
	if duty := u.n.duty(); duty.Addr != u.n.set.Advertise {
		var h heed
		if a.Forwarded {
			return nil, "not on duty"
		}
		a.Forwarded = true
		if !u.n.p.Net.Call(ctx, duty.Addr, transport.Control, consensus.KindJoin, a).Into(&h) {
			return nil, "the core on duty does not answer"
		}
		return h, ""
	}
	u.box.Send(ctx, msgAsk{a})
	return heed{Heard: true}, ""
}

func (u *usher) on(ctx context.Context, msg any) {
	now, v := time.Since(u.start), u.n.keeper.Acceptor()
	switch m := msg.(type) {
	case msgAsk:
		if v.IsMember() && u.n.IsCoordinator() {
			if o, ok := u.value.PlanJoin(m.a, v, u.places(), now); ok {
				u.order(ctx, o)
			}
		}
	case msgLook:
		u.value = u.value.Observe(v.MemberSets().Current, u.places(), now)
		if v.IsMember() && u.n.IsCoordinator() {
			if o, ok := u.value.PlanRemoval(v, now); ok {
				u.order(ctx, o)
			}
		}
	case msgDone:
		if u.busy = false; !m.taken {
			u.rest = now + restFor
		}
	}
}

// order has the set changed, one change at a time.
func (u *usher) order(ctx context.Context, o consensus.Command) {
	if u.busy || time.Since(u.start) < u.rest {
		return
	}
	u.busy = true
	u.n.p.Launcher.Go(ctx, "change-set", func(ctx context.Context) {
		a := u.n.lead(ctx, o)
		u.n.p.Log.Info("the set of slots", "comes", o.Joining.MemberID, "at", o.Joining.Addr, "goes", o.Leaving, "taken", string(a.Outcome), "stamp", a.State.Revision)
		u.box.Send(ctx, msgDone{a.Outcome == consensus.OutcomeCommitted})
	})
}

// places tells of each slot whether its core is live; the own one is.
func (u *usher) places() map[int]consensus.MemberStatus {
	out := places(u.n.seeker.Replicas())
	if v := u.n.keeper.Acceptor(); v.Self.MemberID != 0 {
		out[v.Self.MemberID] = consensus.MemberStatus{Addr: u.n.set.Advertise, Live: true}
	}
	return out
}

func places(s membership.ReplicaTable) map[int]consensus.MemberStatus {
	now := time.Now()
	live := s.Live(now)
	out := map[int]consensus.MemberStatus{}
	for _, c := range s.All() {
		out[c.MemberID] = consensus.MemberStatus{
			Addr: c.Addr,
			Live: slices.ContainsFunc(live, func(l membership.Replica) bool { return l.MemberID == c.MemberID }),
		}
	}
	return out
}
