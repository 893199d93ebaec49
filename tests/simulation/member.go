package simulation

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/watch"
)

// Members is a run of membership, feed and following: sidecars that heartbeat, probe,
// accuse, refute and follow, and cores that sum up, through losses, delays, cuts,
// freezes and kills. Feeds, copies, watches and seats are the production's.
type Members struct {
	clock
	rng   *rand.Rand
	base  time.Time
	cores []*memberCore
	sides []*memberSide
	until time.Duration // the faults stop here
	// Broken lists what must never happen and did; the others count.
	Broken                            []string
	Words, Accused, Refuted, Out, Led int
	// Short counts heartbeats that told a difference, Whole those that were asked for whole.
	Short, Whole int
	// Patched counts words that were told by a difference, Unread those that could not be
	// made whole.
	Patched, Unread int
}

type memberHost struct {
	addr   string
	life   int
	up     bool
	frozen time.Duration
	cut    int
}

type memberCore struct {
	memberHost
	slot int
	boot uint64
	feed *watch.EventLog
	word uint64 // settled here
}

type memberSide struct {
	memberHost
	node  membership.Node
	watch *membership.FailureDetector
	seats membership.ReplicaTable
	talks map[string]membership.HeartbeatEncoder
	turn  uint
	copy  *watch.Mirror
	stamp uint64
	core  *memberCore
	boot  uint64 // of the core that is followed
	place watch.Request
	has   watch.StateDecoder
	bad   map[string]time.Duration
}

// NewMembers lays a run out.
func NewMembers(seed uint64, cores, sides int) *Members {
	m := &Members{rng: rand.New(rand.NewPCG(seed, 23)), base: time.Now(), until: 40 * time.Second}
	for i := range cores {
		c := &memberCore{memberHost: memberHost{addr: fmt.Sprintf("core-%d", i+1)}, slot: i + 1}
		m.cores = append(m.cores, c)
		m.bootCore(c)
	}
	for i := range sides {
		s := &memberSide{memberHost: memberHost{addr: fmt.Sprintf("side-%d", i)}}
		m.sides = append(m.sides, s)
		m.bootSide(s)
	}
	return m
}

func (m *Members) some(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

func (m *Members) bootCore(c *memberCore) {
	c.up, c.boot = true, m.rng.Uint64()
	c.feed = watch.NewEventLog(c.boot, m.now)
	if c.word > 0 { // it was on its disk
		c.feed.ObserveCommitted(wordOf(c.word))
	}
	m.every(&c.memberHost, 100*time.Millisecond, func() { c.feed.DetectPause(m.now); c.feed.Tick(m.now) })
	m.every(&c.memberHost, 300*time.Millisecond, func() { m.catch(c) })
}

func (m *Members) bootSide(s *memberSide) {
	s.up, s.stamp, s.core = true, 0, nil
	s.node = membership.Node{Addr: s.addr, Incarnation: m.rng.Uint64()}
	m.change(s)
	s.watch, s.seats, s.copy, s.bad = membership.NewFailureDetector(s.addr), membership.ReplicaTable{}, watch.NewMirror(), map[string]time.Duration{}
	s.has = watch.StateDecoder{}
	s.talks, s.turn = map[string]membership.HeartbeatEncoder{}, 0
	m.every(&s.memberHost, membership.HeartbeatInterval, func() { m.heartbeat(s) })
	m.every(&s.memberHost, membership.HeartbeatInterval, func() { m.probe(s) })
	m.every(&s.memberHost, 200*time.Millisecond, func() { m.follow(s) })
}

// every does something in rhythm while a host lives; nothing while it is frozen.
func (m *Members) every(h *memberHost, d time.Duration, do func()) {
	life := h.life
	var turn func()
	turn = func() {
		if h.life != life || !h.up {
			return
		}
		if h.frozen <= m.now {
			do()
		}
		m.after(d, turn)
	}
	m.after(m.some(d), turn)
}

// call carries a call and its answer; back gets nothing when it is lost or late.
func (m *Members) call(from, to *memberHost, wait time.Duration, do func() any, back func(answer any, refused bool)) {
	life, over := from.life, false
	end := func(answer any, refused bool) {
		m.after(max(0, from.frozen-m.now), func() {
			if !over && from.life == life && from.up {
				over = true
				back(answer, refused)
			}
		})
	}
	m.after(wait, func() { end(nil, false) })
	quiet := m.now >= m.until
	lost := func() bool { return !quiet && m.rng.IntN(12) == 0 || from.cut != to.cut }
	delay := func() time.Duration {
		if !quiet && m.rng.IntN(30) == 0 {
			return m.some(2 * time.Second)
		}
		return m.some(10 * time.Millisecond)
	}
	if lost() {
		return
	}
	m.after(delay(), func() {
		if !to.up {
			end(nil, true)
			return
		}
		toLife := to.life
		m.after(max(0, to.frozen-m.now), func() {
			if to.life != toLife || !to.up || lost() {
				return
			}
			answer := do()
			m.after(delay(), func() { end(answer, false) })
		})
	})
}

// heartbeat tells the cores of this node and learns of their seats and of accusers.
func (m *Members) heartbeat(s *memberSide) {
	s.node.AppliedRevision = s.stamp
	s.node.Suspects = s.watch.Suspects(s.copy.Nodes)
	m.Accused += len(s.node.Suspects)
	s.turn++
	for _, c := range m.cores {
		m.tell(s, c)
	}
}

// tell heartbeats one core with what it lacks.
func (m *Members) tell(s *memberSide, c *memberCore) {
	whole := s.node
	whole.Sequence = s.turn
	told := s.talks[c.addr].Encode(membership.Heartbeat{Node: &whole, TableDigest: 1}, s.turn%4 == 0)
	if told.NodeStatus != nil {
		m.Short++
	}
	m.call(&s.memberHost, &c.memberHost, 750*time.Millisecond, func() any {
		c.feed.DetectPause(m.now)
		r := membership.Heartbeat{TableDigest: 1}
		if told.Node != nil {
			c.feed.ObserveNode(*told.Node, m.now)
		} else {
			r.RequestFull = !c.feed.ObserveStatus(*told.NodeStatus, m.now)
		}
		for _, n := range c.feed.Nodes() {
			if !slices.Equal(n.Backends, backends(n)) {
				m.wrong("%s shows %+v", c.addr, n)
			}
		}
		if inc, ok := c.feed.Suspected()[s.addr]; ok {
			r.Suspected = &inc
		}
		return r
	}, func(answer any, refused bool) {
		r, ok := answer.(membership.Heartbeat)
		if !ok {
			return
		}
		s.seats = s.seats.Observe(membership.Replica{MemberID: c.slot, MemberCount: len(m.cores), Addr: c.addr, MemberIncarnation: 1, Incarnation: c.boot, Established: true}, m.base.Add(m.now))
		if r.Suspected != nil && *r.Suspected >= s.node.Refutation {
			s.node.Refutation = *r.Suspected + 1
			m.Refuted++
		}
		next, again := s.talks[c.addr].Acknowledge(told, r)
		s.talks[c.addr] = next
		if again {
			m.Whole++
			m.tell(s, c)
		}
	})
}

// backends are those of a node in its boot and revision, and of no other.
func backends(n membership.Node) []membership.Backend {
	return []membership.Backend{{Instance: fmt.Sprint(n.Addr, " ", n.Incarnation, " ", n.Version)}}
}

// change has a sidecar's backends change.
func (m *Members) change(s *memberSide) {
	s.node.Version++
	s.node.Backends = backends(s.node)
}

func (m *Members) side(addr string) *memberSide {
	return m.sides[slices.IndexFunc(m.sides, func(s *memberSide) bool { return s.addr == addr })]
}

// probe asks those that this node watches.
func (m *Members) probe(s *memberSide) {
	for _, addr := range s.watch.Monitored(slices.Sorted(maps.Keys(s.copy.Nodes))) {
		o := m.side(addr)
		m.call(&s.memberHost, &o.memberHost, membership.HeartbeatInterval, func() any { return membership.Probe{Incarnation: o.node.Incarnation, Refutation: o.node.Refutation} },
			func(answer any, refused bool) {
				p, ok := answer.(membership.Probe)
				if ok && p.Incarnation == s.copy.Nodes[addr].Incarnation {
					s.watch.ObserveProbe(addr, &p, false)
				} else {
					s.watch.ObserveProbe(addr, nil, refused)
				}
			})
	}
}

// follow asks the core that ranks first among the live ones; one that failed comes
// last.
func (m *Members) follow(s *memberSide) {
	live := rendezvous.Rank(s.addr, s.seats.Live(m.base.Add(m.now)), func(c membership.Replica) string { return c.Addr })
	if len(live) == 0 {
		return
	}
	slices.SortStableFunc(live, func(a, b membership.Replica) int { return int(s.bad[a.Addr]/1e6) - int(s.bad[b.Addr]/1e6) })
	c := m.cores[live[0].MemberID-1]
	if s.core != c || s.boot != live[0].Incarnation {
		s.core, s.boot, s.place = c, live[0].Incarnation, watch.Request{}
		m.Led++
	}
	at, asked := s.place, s.has.Prepare(s.place)
	m.call(&s.memberHost, &c.memberHost, 900*time.Millisecond, func() any {
		c.feed.DetectPause(m.now)
		if !c.feed.Ready(m.now) {
			return false
		}
		n, _ := c.feed.Since(asked)
		return n
	}, func(answer any, _ bool) {
		n, ok := answer.(watch.Updates)
		if !ok {
			s.bad[c.addr] = m.now
			return
		}
		if s.core != c || s.place.LogID != at.LogID || s.place.Offset != at.Offset {
			return // a later call has been answered
		}
		for _, it := range n.Events {
			if it.StatePatch != nil {
				m.Patched++
			}
		}
		n.Events = slices.Clone(n.Events) // the core's own
		if !s.has.Decode(&n) {
			m.Unread++
			return // it asks for the whole next
		}
		s.place = watch.Request{LogID: n.LogID, Offset: n.Offset}
		if w, _ := s.copy.Apply(n); w != nil {
			if w.Revision < s.stamp {
				m.wrong("%s went from stamp %d back to %d", s.addr, s.stamp, w.Revision)
			}
			s.stamp = w.Revision
			if !bytes.Equal(w.Configuration, wordOf(w.Revision).Configuration) {
				m.wrong("%s put something else in force as stamp %d", s.addr, w.Revision)
			}
		}
	})
}

// catch copies what another core has settled, as heartbeats between cores bring about.
func (m *Members) catch(c *memberCore) {
	for _, o := range m.cores {
		m.call(&c.memberHost, &o.memberHost, time.Second, func() any { return o.word }, func(answer any, _ bool) {
			if w, ok := answer.(uint64); ok && w > c.word {
				c.word = w
				c.feed.ObserveCommitted(wordOf(w))
			}
		})
	}
}

// wordOf is the word of a stamp; words differ in a small part.
func wordOf(stamp uint64) config.ControlState {
	text := strings.Repeat("a route that stays as it is; ", 10)
	return config.ControlState{Revision: stamp, Configuration: fmt.Appendf([]byte(text), "a route as of stamp %d; %s", stamp, text)}
}

// write settles a new word on one core that lives.
func (m *Members) write() {
	c := m.cores[m.rng.IntN(len(m.cores))]
	if !c.up || c.frozen > m.now {
		return
	}
	m.Words++
	c.word = uint64(m.Words)
	c.feed.ObserveCommitted(wordOf(c.word))
}

// Run brings faults about for a while, then none, and looks whether all agree.
func (m *Members) Run() {
	m.again(800*time.Millisecond, m.write)
	m.again(time.Second, m.disturb)
	m.again(300*time.Millisecond, func() {
		if s := m.sides[m.rng.IntN(len(m.sides))]; s.up && s.frozen <= m.now {
			m.change(s)
		}
	})
	m.run(m.until)
	for _, h := range m.hosts() {
		h.cut, h.frozen = 0, min(h.frozen, m.now)
		if !h.up {
			m.revive(h)
		}
	}
	// A core that has just started listens for 1.2 s first; then 2 s.
	m.run(m.until + watch.StartupDelay + 2*time.Second)
	m.agree("2 s after all was whole", false)
	m.run(m.until + 8*time.Second)
	m.agree("8 s after all was whole", true)
}

func (m *Members) again(d time.Duration, do func()) {
	m.after(m.some(2*d), func() {
		if m.now < m.until {
			do()
			m.again(d, do)
		}
	})
}

// agree checks that all have the newest word, and, if nodes is set, that all know
// just the nodes that live.
func (m *Members) agree(when string, nodes bool) {
	var top uint64
	for _, c := range m.cores {
		top = max(top, c.word)
	}
	type now struct{ boot, rev uint64 }
	want := map[string]now{}
	for _, s := range m.sides {
		want[s.addr] = now{s.node.Incarnation, s.node.Version}
	}
	for _, s := range m.sides {
		if s.stamp < top {
			m.wrong("%s: %s is at stamp %d, the newest is %d", when, s.addr, s.stamp, top)
		}
		got := map[string]now{}
		for _, n := range s.copy.Nodes {
			got[n.Addr] = now{n.Incarnation, n.Version}
		}
		if nodes && !maps.Equal(got, want) {
			m.wrong("%s: %s knows %v, there are %v", when, s.addr, got, want)
		}
		m.Out += len(want) - len(got)
	}
}

func (m *Members) hosts() (out []*memberHost) {
	for _, c := range m.cores {
		out = append(out, &c.memberHost)
	}
	for _, s := range m.sides {
		out = append(out, &s.memberHost)
	}
	return out
}

func (m *Members) revive(h *memberHost) {
	for _, c := range m.cores {
		if h == &c.memberHost {
			m.bootCore(c)
		}
	}
	for _, s := range m.sides {
		if h == &s.memberHost {
			m.bootSide(s)
		}
	}
}

// disturb kills, freezes, cuts and mends.
func (m *Members) disturb() {
	all := m.hosts()
	h := all[m.rng.IntN(len(all))]
	switch m.rng.IntN(5) {
	case 0:
		if h.up {
			h.up = false
			h.life++
			m.after(m.some(3*time.Second), func() {
				if !h.up {
					m.revive(h)
				}
			})
		}
	case 1:
		h.frozen = m.now + m.some(5*time.Second)
	case 2, 3:
		h.cut = m.rng.IntN(2)
	default:
		for _, h := range all {
			h.cut = 0
		}
	}
}

func (m *Members) wrong(format string, args ...any) {
	m.Broken = append(m.Broken, fmt.Sprintf(format, args...))
}
