package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/membership"
)

// epochOfTime is when simulated runs begin, for what counts in wall time.
var epochOfTime = time.Unix(1_700_000_000, 0)

// mostCores bounds how many cores are to be up at a time.
const mostCores = 9

// NewSlots lays out a run whose cores have no static seats: so many founders, and
// others that come, go, are swapped and wiped.
func NewSlots(seed uint64, founders int, f Faults) *Register {
	r := NewRegister(seed, 0, f)
	r.asking, r.slots = true, founders
	for i := range founders {
		r.founders = append(r.founders, fmt.Sprintf("core %d", i))
	}
	for i := range founders {
		c := &core{addr: r.founders[i], disk: consensus.Bootstrap{NewCluster: true, InitialMembers: r.founders, AdvertiseAddr: r.founders[i]}.InitialState(r.rng.Uint64() | 1)}
		r.cores = append(r.cores, c)
		r.after(r.some(time.Second), func() { r.boot(c) })
	}
	return r
}

func (r *Register) at(addr string) *core {
	i := slices.IndexFunc(r.cores, func(c *core) bool { return c.addr == addr })
	if i < 0 {
		return nil
	}
	return r.cores[i]
}

func (r *Register) wall() time.Time { return epochOfTime.Add(r.now) }

// heartbeating has a core heartbeat all others in rhythm.
func (r *Register) heartbeating(c *core, life int) {
	var heartbeat func()
	heartbeat = func() {
		if !c.up || c.life != life {
			return
		}
		r.when(c, func() { r.heartbeat(c) })
		r.after(membership.HeartbeatInterval, heartbeat)
	}
	heartbeat()
}

// tells is what a core tells of its seat.
func (c *core) tells() membership.Replica {
	v := c.acceptor
	s := membership.Replica{
		MemberID: v.Self.MemberID, MemberCount: len(v.MemberSets().Current), Members: consensus.MemberIDs(v.MemberSets().Current), AcceptedRevision: v.Position.Revision, Addr: c.addr, MemberIncarnation: v.Self.Incarnation,
		Established: v.Phase == consensus.PhaseEstablished, CommittedRevision: v.Committed,
	}
	if v.Committed < v.Position.Revision {
		s.PreviousMembers = consensus.MemberIDs(v.MemberSets().Previous)
	}
	return s
}

// heartbeat tells a core's seat to the others, which tell theirs; then it looks how its
// seat and the others' stand.
func (r *Register) heartbeat(c *core) {
	know := c.seats.Observed()
	replica := c.tells()
	for _, to := range r.cores {
		if to == c || to.gone {
			continue
		}
		r.send(c, to, func() {
			to.seats = to.seats.AddReported(know, r.wall())
			if replica.Established {
				r.heard(to, replica)
			}
			back, known := to.tells(), to.seats.Observed()
			r.send(to, c, func() {
				c.seats = c.seats.AddReported(known, r.wall())
				if back.Established {
					r.heard(c, back)
				}
			})
		})
	}
	c.usher = c.usher.Observe(c.acceptor.MemberSets().Current, c.places(r.wall()), r.now)
	if c.acceptor.IsMember() && r.duty(c) == c {
		if o, ok := c.usher.PlanRemoval(c.acceptor, r.now); ok {
			r.reseat(c, o)
		}
	}
}

// heard takes what a core told of itself.
func (r *Register) heard(c *core, s membership.Replica) {
	c.seats = c.seats.Observe(s, r.wall())
	v := c.acceptor
	switch {
	case s.CommittedRevision > v.Committed:
		from := r.at(s.Addr)
		r.send(c, from, func() {
			_, vote := from.acceptor.Step(consensus.Message{Sender: v.Self, Type: consensus.MsgRead})
			r.send(from, c, func() {
				if vote.Committed != vote.Position.Revision {
					return
				}
				next, _ := c.acceptor.Step(consensus.Message{Sender: c.acceptor.Self, Type: consensus.MsgCommit, Term: vote.Position.Term, Position: vote.Position, State: vote.State})
				r.save(c, next)
				r.tell(c)
			})
		})
	}
}

func (c *core) places(now time.Time) map[int]consensus.MemberStatus {
	out := map[int]consensus.MemberStatus{}
	live := c.seats.Live(now)
	for _, s := range c.seats.All() {
		out[s.MemberID] = consensus.MemberStatus{Addr: s.Addr, Live: slices.ContainsFunc(live, func(l membership.Replica) bool { return l.MemberID == s.MemberID })}
	}
	if v := c.acceptor; v.Self.MemberID != 0 {
		out[v.Self.MemberID] = consensus.MemberStatus{Addr: c.addr, Live: true}
	}
	return out
}

// duty is the core that one takes for the one on duty.
func (r *Register) duty(c *core) *core {
	set := consensus.MemberIDs(c.acceptor.MemberSets().Current)
	if s, _, held := c.seats.Members(); len(s) > 0 && (held > c.acceptor.Position.Revision || len(set) == 0) {
		set = s
	}
	member := c.acceptor.Phase == consensus.PhaseEstablished && slices.Contains(set, c.acceptor.Self.MemberID)
	for _, s := range c.seats.Live(r.wall()) {
		if s.MemberID != c.acceptor.Self.MemberID && slices.Contains(set, s.MemberID) && (s.MemberID < c.acceptor.Self.MemberID || !member) {
			return r.at(s.Addr)
		}
	}
	return c
}

// seek is what a core does for its seat; it tells whether that is all for now.
func (r *Register) seek(c *core) bool {
	if c.acceptor.Removed() {
		r.note(c, "is struck")
		r.Struck++
		r.save(c, c.acceptor.Rejoining(r.rng.Uint64()|1))
	}
	if c.acceptor.Phase != consensus.PhaseJoining {
		return false
	}
	if !c.leaving && r.rng.IntN(4) == 0 {
		if to := r.duty(c); to != c {
			r.ask(c, to)
		}
	}
	return true
}

func (r *Register) ask(c, to *core) {
	a := consensus.JoinRequest{DiskID: c.acceptor.Self.DiskID, Addr: c.addr}
	r.send(c, to, func() {
		if !to.acceptor.IsMember() || r.duty(to) != to {
			return
		}
		if o, ok := to.usher.PlanJoin(a, to.acceptor, to.places(r.wall()), r.now); ok {
			r.reseat(to, o)
		}
	})
}

// reseat has the set changed, one change at a time.
func (r *Register) reseat(c *core, o consensus.Command) {
	if c.busy {
		return
	}
	c.busy = true
	r.note(c, "orders %s into %d, %d out", o.Joining.Addr, o.Joining.MemberID, o.Leaving)
	life := c.life
	r.order(c, o, func(consensus.CommandResult) {
		if c.life == life {
			c.busy = false
		}
	})
}

// grew counts changes of the set.
func (r *Register) grew(state config.ControlState) {
	switch {
	case len(state.PreviousMembers) == 0:
	case len(state.Members) > len(state.PreviousMembers):
		r.Grown++
	case len(state.Members) < len(state.PreviousMembers):
		r.Shrunk++
	default:
		r.Swapped++
	}
}

// bears tells whether the cores' disks would still be enough with some of them lost:
// a majority of each set that may decide.
func (r *Register) bears(lost ...*core) bool {
	sets := []consensus.MemberSets{{Current: r.word.Members, Previous: r.word.PreviousMembers}}
	for _, c := range r.cores {
		if m := c.disk.Position; len(r.word.Members) == 0 || m.Revision > r.word.Revision {
			sets = append(sets, c.disk.MemberSets())
		}
	}
	for stamp, begun := range r.begun {
		if stamp > r.word.Revision {
			sets = append(sets, begun...)
		}
	}
	for _, s := range sets {
		for _, set := range [][]config.Member{s.Current, s.Previous} {
			n := 0
			for _, m := range set {
				if slices.ContainsFunc(r.cores, func(c *core) bool {
					return !c.gone && c.disk.Self.DiskID == m.DiskID && !slices.Contains(lost, c)
				}) {
					n++
				}
			}
			if len(set) > 0 && n < consensus.Majority(len(set)) {
				return false
			}
		}
	}
	return true
}

// alter has a core come, go for good, be swapped or wiped, or a minority of the
// disks be lost at once, at times with the power of all others.
func (r *Register) alter() {
	var here []*core
	for _, c := range r.cores {
		if !c.gone {
			here = append(here, c)
		}
	}
	pick := func() *core { return here[r.rng.IntN(len(here))] }
	switch r.rng.IntN(6) {
	case 0:
		if len(here) < mostCores {
			r.join()
		}
	case 1:
		if c := pick(); len(here) > 3 && r.bears(c) {
			r.remove(c)
		}
	case 2:
		if c := pick(); r.bears(c) {
			r.remove(c)
			r.join()
		}
	case 3:
		if c := pick(); r.bears(c) {
			r.wipe(c)
		}
	default:
		lost := []*core{}
		for _, i := range r.rng.Perm(len(here)) {
			if r.bears(append(slices.Clone(lost), here[i])...) {
				lost = append(lost, here[i])
			}
		}
		if len(lost) == 0 {
			return
		}
		r.Blackouts++
		all := r.rng.IntN(2) == 0
		for _, c := range here {
			switch {
			case slices.Contains(lost, c) && r.rng.IntN(2) == 0:
				r.remove(c)
				r.join()
			case slices.Contains(lost, c):
				r.wipe(c)
			case all && c.up:
				r.down(c)
			}
		}
	}
}

func (r *Register) join() {
	r.Joins++
	c := &core{addr: fmt.Sprintf("core %d", len(r.cores)), disk: consensus.Bootstrap{}.InitialState(r.rng.Uint64() | 1)}
	r.cores = append(r.cores, c)
	r.boot(c)
}

func (r *Register) remove(c *core) {
	r.note(c, "goes for good")
	r.Swaps++
	c.gone, c.up = true, false
	c.life++
	c.disk = consensus.Acceptor{}
}

// wipe starts a core again at its address, with an empty disk.
func (r *Register) wipe(c *core) {
	r.note(c, "is wiped")
	r.Swaps++
	if c.up {
		r.down(c)
	}
	c.disk = consensus.Bootstrap{InitialMembers: r.founders, AdvertiseAddr: c.addr}.InitialState(r.rng.Uint64() | 1)
}

// apart tells what is still amiss with the set, after the faults: all cores that are
// up are to be members, and no more may be missing than an odd set may lack.
func (r *Register) apart() string {
	var live, set []int
	sets := map[string]bool{}
	for _, c := range r.cores {
		if c.gone {
			continue
		}
		if !c.acceptor.IsMember() {
			return c.addr + " is no member"
		}
		live = append(live, c.acceptor.Self.MemberID)
		set = consensus.MemberIDs(c.acceptor.MemberSets().Current)
		sets[fmt.Sprint(set)] = true
	}
	missing := 0
	for _, s := range set {
		if !slices.Contains(live, s) {
			missing++
		}
	}
	most := len(set) % 2
	if len(set) <= max(3, r.slots) {
		most = len(set) - consensus.Majority(len(set))
	}
	if len(sets) != 1 || missing > most || len(live)+missing != len(set) {
		return fmt.Sprintf("%d are missing in %v", missing, slices.Sorted(maps.Keys(sets)))
	}
	return ""
}
