package simulation

import (
	"slices"
	"time"

	"curlewwalk/internal/controlplane/consensus"
)

const (
	// settleFor is how long cores that are back, or new, have until others may be lost.
	settleFor = 4 * time.Second
	// serveIn bounds how long a loss that the set bears may hold up orders and reads.
	serveIn = 8 * time.Second
	// longestAway is for how long a core that will be back may be away.
	longestAway = 6 * time.Second
	// leaveEvery and leaveFor are those of a core that is stopped (core.leave).
	leaveEvery = 100 * time.Millisecond
	leaveFor   = 2 * time.Second
)

// Calm has no failures but those that a run brings about itself.
var Calm = Faults{Delay: 40 * time.Millisecond}

// Losses is a run in which as many cores as the set bears are lost at once; they come
// back, or empty ones in their place; and settleFor later others are lost. Between two
// losses a core may be replaced as planned: the new one first, then the old one stopped,
// which leaves no time before the next loss.
type Losses struct {
	*Register
	size int
	// Slowest is the longest that a loss held up orders and reads; Planned counts
	// planned replacements, Lost the cores lost.
	Slowest       time.Duration
	Planned, Lost int
}

// NewLosses lays out a run of so many cores, up to three of which found the system.
func NewLosses(seed uint64, size int) *Losses {
	return &Losses{Register: NewSlots(seed, min(size, 3), Calm), size: size}
}

// Run runs so many rounds.
func (l *Losses) Run(rounds int) {
	for len(l.cores) < l.size {
		l.join()
	}
	l.run(settleFor)
	for range rounds {
		if l.rng.IntN(2) == 0 {
			l.planned()
		}
		l.write()
		l.run(l.now + l.some(200*time.Millisecond))
		back := l.lose()
		l.serve()
		l.run(max(l.now, back) + settleFor)
		l.repaired()
		if len(l.Broken) > 0 {
			return
		}
	}
}

// bearable is how many cores may be lost at once.
func (l *Losses) bearable() int { return (l.size - 1) / 2 }

func (l *Losses) present() (out []*core) {
	for _, c := range l.cores {
		if !c.gone {
			out = append(out, c)
		}
	}
	return out
}

// lose has as many cores as may be lost go at once, and tells when all are back.
func (l *Losses) lose() (back time.Duration) {
	here := l.present()
	for _, i := range l.rng.Perm(len(here))[:l.bearable()] {
		c, away := here[i], l.some(longestAway)
		l.Lost++
		switch l.rng.IntN(5) {
		case 0:
			l.note(c, "is lost with its disk and comes back")
			l.off(c)
			c.disk = consensus.Bootstrap{InitialMembers: l.founders, AdvertiseAddr: c.addr}.InitialState(l.rng.Uint64() | 1)
			l.after(away, func() { l.boot(c) })
		case 1:
			l.remove(c)
			l.after(away, l.join)
		case 2:
			l.note(c, "loses power")
			l.off(c)
			l.after(away, func() { l.boot(c) })
		case 3:
			l.note(c, "freezes")
			c.frozen = l.now + away
		default:
			l.note(c, "is cut off")
			c.cut = 1 + i
			l.after(away, func() { c.cut = 0 })
		}
		back = max(back, l.now+away)
	}
	return back
}

func (*Losses) off(c *core) {
	c.up = false
	c.life++
}

// planned replaces a core as planned: it is stopped once a new one is a member.
func (l *Losses) planned() {
	here := l.present()
	old := here[l.rng.IntN(len(here))]
	l.join()
	l.run(l.now + settleFor)
	l.note(old, "is stopped")
	old.leaving = true
	for end := l.now + leaveFor; l.now < end && old.acceptor.Phase == consensus.PhaseEstablished; {
		o, ok := consensus.PlanLeave(old.acceptor)
		if !ok && len(old.acceptor.MemberSets().Previous) == 0 {
			break
		}
		if duty := l.duty(old); ok && duty.up {
			l.order(duty, o, func(consensus.CommandResult) {})
		}
		l.run(l.now + leaveEvery)
	}
	l.remove(old)
	l.Planned++
}

// serve waits until an order is acknowledged and a read answered.
func (l *Losses) serve() {
	begun, acked, reads := l.now, l.Acked, l.Reads
	for l.Acked == acked || l.Reads == reads {
		if l.now-begun > serveIn {
			l.broken("no order or no read in %v after a loss that the set bears: %s", serveIn, l.show())
			return
		}
		l.write()
		l.readBack()
		l.run(l.now + 200*time.Millisecond)
	}
	l.Slowest = max(l.Slowest, l.now-begun)
}

// repaired checks that all cores are members again, and that the set bears the next loss.
func (l *Losses) repaired() {
	members := map[int]bool{}
	here := l.present()
	for _, c := range here {
		if !c.acceptor.IsMember() || len(c.acceptor.MemberSets().Previous) > 0 {
			l.broken("%s is no full member %v after all were back: %s", c.addr, settleFor, l.show())
			return
		}
		members[c.acceptor.Self.MemberID] = true
	}
	for _, c := range here {
		set := consensus.MemberIDs(c.acceptor.MemberSets().Current)
		live := len(set) - len(slices.DeleteFunc(slices.Clone(set), func(s int) bool { return members[s] }))
		if live-l.bearable() < consensus.Majority(len(set)) {
			l.broken("%d of %v live, which does not bear %d losses: %s", live, set, l.bearable(), l.show())
			return
		}
	}
}
