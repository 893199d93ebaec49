package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/dataplane/endpoints"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/watch"
)

// Claims is a run of the claims: cores that look at one another and pass words
// on, and sidecars that follow and admit, through delays, losses, cuts and
// freezes. Feeds and claims are the production's.
type Claims struct {
	clock
	rng   *rand.Rand
	base  time.Time
	cores []*claimCore
	sides []*claimSide
	acked []time.Duration // when each stamp was acknowledged; index is stamp-1
	// settled is when a majority of cores had accepted each stamp.
	settled []time.Duration
	// untold marks stamps that were acknowledged, after the longest wait, though
	// most sidecars had not taken them.
	untold map[uint64]bool
	// dead is when all cores lose power for good; zero if they don't.
	dead time.Duration
	// Broken lists what must never happen and did; the others count. Agreed are
	// admissions by roll call.
	Broken                           []string
	Admitted, Agreed, Lapsed, Untold int
}

type claimCore struct {
	frozen   time.Duration
	cut      int
	accepted uint64
	feed     *watch.EventLog
	sure     time.Duration // as of when; negative if never
	open     bool          // a look waits for its stamp to be settled
	lookAt   time.Duration
	lookTo   uint64
}

type claimSide struct {
	addr   string
	frozen time.Duration
	cut    int
	core   int
	place  watch.Request
	stamp  uint64
	claim  endpoints.Lease
	heard  time.Duration // news from a core
	agreed endpoints.Lease
	said   membership.PeerStatusTable // what it heard of itself and others
}

// NewClaims lays a run out.
func NewClaims(seed uint64, cores, sides int) *Claims {
	c := &Claims{rng: rand.New(rand.NewPCG(seed, 13)), base: time.Now(), untold: map[uint64]bool{}}
	if seed%2 == 0 {
		c.dead = 10*time.Second + c.some(40*time.Second)
	}
	for i := range cores {
		c.cores = append(c.cores, &claimCore{feed: watch.NewEventLog(uint64(i)*1000+1, 0), sure: -1})
	}
	for i := range sides {
		c.sides = append(c.sides, &claimSide{addr: fmt.Sprint(i), core: i % cores})
	}
	return c
}

func (c *Claims) some(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// every does something again and again, at about an interval.
func (c *Claims) every(d time.Duration, do func()) {
	c.after(c.some(2*d), func() { do(); c.every(d, do) })
}

// pass carries a message, late or lost; a frozen receiver gets it on waking.
func (c *Claims) pass(fromCut, toCut *int, toFrozen *time.Duration, do func()) {
	if c.rng.IntN(10) == 0 {
		return
	}
	d := c.some(80 * time.Millisecond)
	if c.rng.IntN(20) == 0 {
		d = c.some(3 * time.Second)
	}
	c.after(d, func() {
		if *fromCut != *toCut {
			return
		}
		c.after(max(0, *toFrozen-c.now), do)
	})
}

// Run runs it for a while of simulated time.
func (c *Claims) Run(d time.Duration) {
	c.every(700*time.Millisecond, c.write)
	c.every(3*time.Second, c.disturb)
	if c.dead > 0 {
		c.after(c.dead, func() {
			for _, k := range c.cores {
				k.frozen = 2 * d // what was on its way is lost
			}
		})
	}
	for _, k := range c.cores {
		c.every(300*time.Millisecond, func() { c.when(k.frozen, func() { c.look(k) }) })
		c.every(100*time.Millisecond, func() { c.when(k.frozen, func() { k.feed.DetectPause(c.now); k.feed.Tick(c.now) }) })
	}
	for _, s := range c.sides {
		c.every(300*time.Millisecond, func() { c.when(s.frozen, func() { c.follow(s) }) })
		c.every(50*time.Millisecond, func() { c.when(s.frozen, func() { c.admit(s) }) })
		c.every(500*time.Millisecond, func() { c.when(s.frozen, func() { c.rollcall(s) }) })
	}
	c.run(d)
}

func (c *Claims) when(frozen time.Duration, do func()) {
	if frozen <= c.now {
		do()
	}
}

// write puts a word: each core accepts it when it comes, it is acknowledged
// when a majority has, and then it is told.
func (c *Claims) write() {
	if c.gone() {
		return
	}
	stamp := uint64(len(c.acked) + 1)
	if stamp > 1 && c.acked[stamp-2] == 0 {
		return // the one before is still on its way
	}
	c.acked = append(c.acked, 0)
	from := c.cores[c.rng.IntN(len(c.cores))]
	got := map[*claimCore]bool{}
	var try func()
	try = func() {
		if c.acked[stamp-1] != 0 {
			return
		}
		for _, k := range c.cores {
			c.pass(&from.cut, &k.cut, &k.frozen, func() {
				k.accepted = max(k.accepted, stamp)
				c.pass(&k.cut, &from.cut, &from.frozen, func() {
					if got[k] = true; len(got) >= consensus.Majority(len(c.cores)) && len(c.settled) < int(stamp) {
						c.settled = append(c.settled, c.now)
						c.acknowledge(stamp, c.now+time.Second)
					}
				})
			})
		}
		c.after(400*time.Millisecond, try)
	}
	try()
}

// acknowledge waits until all sidecars have a stamp, for a second at most, or at
// least most of them, for three.
func (c *Claims) acknowledge(stamp uint64, until time.Duration) {
	have := 0
	for _, s := range c.sides {
		if s.stamp >= stamp {
			have++
		}
	}
	over := c.now >= until && (have > len(c.sides)/2 || c.now >= until+2*time.Second)
	if c.acked[stamp-1] != 0 || have < len(c.sides) && !over {
		c.after(20*time.Millisecond, func() {
			if c.acked[stamp-1] == 0 && !c.gone() {
				c.acknowledge(stamp, until)
			}
		})
		return
	}
	c.acked[stamp-1] = c.now
	if have <= len(c.sides)/2 {
		c.untold[stamp] = true
	}
}

// gone tells whether all cores are dead by now.
func (c *Claims) gone() bool { return c.dead > 0 && c.now >= c.dead }

// alone tells whether a sidecar finds that no majority of cores lives: their
// machines refuse it.
func (c *Claims) alone(s *claimSide) bool {
	refused := 0
	for _, k := range c.cores {
		if c.gone() && k.cut == s.cut {
			refused++
		}
	}
	return refused >= consensus.Majority(len(c.cores))
}

// rollcall asks a few of the other sidecars while no core tells, and counts what they
// heard of all others too.
func (c *Claims) rollcall(s *claimSide) {
	if c.now-s.heard < time.Second {
		return
	}
	begin, known := c.now, []string{}
	for _, o := range c.sides {
		known = append(known, o.addr)
	}
	for _, i := range c.rng.Perm(len(c.sides))[:membership.Fanout] {
		o := c.sides[i]
		if o == s {
			continue
		}
		c.pass(&s.cut, &o.cut, &o.frozen, func() {
			told, stamp := o.said.Report(c.peer(o), membership.NewView(nil, nil), c.base.Add(c.now)), o.stamp
			c.pass(&o.cut, &s.cut, &s.frozen, func() {
				if stamp > s.stamp {
					c.fetch(s, o)
				}
				if c.now-begin > 400*time.Millisecond {
					return // nobody waits for it any more
				}
				s.said = s.said.Observe(s.addr, told, c.base.Add(begin), c.base.Add(c.now))
				if asOf, ok := s.said.ConfirmedAsOf(s.addr, s.stamp, known, c.base.Add(c.now)); ok {
					s.agreed.Renew(asOf)
				}
			})
		})
	}
}

// peer is what a sidecar tells of itself.
func (c *Claims) peer(s *claimSide) membership.Peer {
	return membership.Peer{Addr: s.addr, Incarnation: 1, Status: &membership.PeerStatus{AppliedRevision: s.stamp, QuorumLost: c.alone(s)}}
}

// fetch asks one sidecar for its word.
func (c *Claims) fetch(s, o *claimSide) {
	c.pass(&s.cut, &o.cut, &o.frozen, func() {
		stamp := o.stamp
		c.pass(&o.cut, &s.cut, &s.frozen, func() { s.stamp = max(s.stamp, stamp) })
	})
}

// look asks a majority, and learns of settled words as cores do: late.
func (c *Claims) look(k *claimCore) {
	begin := c.now
	votes := map[*claimCore]uint64{}
	for _, o := range c.cores {
		c.pass(&k.cut, &o.cut, &o.frozen, func() {
			seen := o.accepted
			c.pass(&o.cut, &k.cut, &k.frozen, func() {
				votes[o] = seen
				if len(votes) != consensus.Majority(len(c.cores)) {
					return
				}
				var top uint64
				for _, v := range votes {
					top = max(top, v)
				}
				if !k.open || begin > k.lookAt && top <= k.lookTo {
					k.open, k.lookAt, k.lookTo = true, begin, top
				}
				// The settled word of that stamp comes some time.
				if top > 0 && len(c.settled) >= int(top) {
					k.feed.ObserveCommitted(config.ControlState{Revision: top})
				}
				c.confirm(k)
			})
		})
	}
}

func (c *Claims) confirm(k *claimCore) {
	var told uint64
	if w := k.feed.State(); w != nil {
		told = w.Revision
	}
	if k.open && told >= k.lookTo {
		k.open, k.sure = false, k.lookAt
	}
}

// follow asks the core; what it is sure of counts from when it was asked.
func (c *Claims) follow(s *claimSide) {
	asked, at := c.now, s.core
	k := c.cores[at]
	if c.rng.IntN(40) == 0 {
		s.core, s.place = c.rng.IntN(len(c.cores)), watch.Request{}
		return
	}
	c.pass(&s.cut, &k.cut, &k.frozen, func() {
		k.feed.DetectPause(c.now)
		if !k.feed.Ready(c.now) {
			return
		}
		n, _ := k.feed.Since(s.place)
		age := time.Hour
		if k.sure >= 0 {
			age = c.now - k.sure
		}
		c.pass(&k.cut, &s.cut, &s.frozen, func() {
			if s.core != at {
				return
			}
			s.place = watch.Request{LogID: n.LogID, Offset: n.Offset}
			for _, it := range n.Events {
				if it.State != nil {
					s.stamp = max(s.stamp, it.State.Revision)
				}
			}
			s.heard = c.now
			s.claim.Renew(c.base.Add(asked - age))
		})
	})
}

// admit checks the gate's promise at a moment at which it would admit.
func (c *Claims) admit(s *claimSide) {
	now := c.base.Add(c.now)
	switch {
	case s.claim.Age(now) <= endpoints.LeaseDuration:
		c.Admitted++
	case s.agreed.Age(now) <= endpoints.LeaseDuration && c.alone(s):
		c.Agreed++
	default:
		c.Lapsed++
		return
	}
	for i := s.stamp; i < uint64(len(c.acked)); i++ {
		if at := c.settled; c.acked[i] != 0 && c.now-at[i] > endpoints.LeaseDuration {
			if c.gone() && c.untold[i+1] {
				c.Untold++
				continue
			}
			c.Broken = append(c.Broken, fmt.Sprintf("%v: admitted at stamp %d, %v after a majority had taken %d", c.now, s.stamp, c.now-at[i], i+1))
		}
	}
}

// disturb cuts, mends and freezes.
func (c *Claims) disturb() {
	for _, k := range c.cores {
		k.cut = c.rng.IntN(4) / 3
		if c.rng.IntN(6) == 0 && !c.gone() {
			k.frozen = c.now + c.some(8*time.Second)
		}
	}
	for _, s := range c.sides {
		s.cut = c.rng.IntN(4) / 3
		if c.rng.IntN(6) == 0 {
			s.frozen = c.now + c.some(8*time.Second)
		}
		for _, k := range c.cores {
			if c.gone() {
				break
			}
			k.feed.ObserveNode(membership.Node{Addr: "any"}, c.now)
		}
	}
}
