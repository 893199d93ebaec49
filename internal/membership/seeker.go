package membership

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"curlewwalk/internal/actor"
	"curlewwalk/internal/rendezvous"
	"curlewwalk/internal/transport"
)

// Beat is the rhythm in which soft state is told again.
const Beat = 500 * time.Millisecond // (ours)

const (
	// tallied is in which beat tallies are told, and sums asked for.
	tallied = 4 // (ours)
	// apart is how far hastened rounds are apart: a burst of changes is one.
	apart = 20 * time.Millisecond // (ours)
)

// Seeker finds the cores and keeps heartbeating them. (DESIGN 7.1)
type Seeker struct {
	Own      func() Heartbeat
	Addr     string
	Net      *transport.Net
	Launcher *actor.Launcher
	// Heard is told of each seat that spoke for itself; it must not wait.
	Heard func(ctx context.Context, c Seat)
	// Told, if set, is handed what was told and the response to it, before whoever
	// answered counts as heard; it must not wait.
	Told func(ctx context.Context, told, response Heartbeat)

	seeds  atomic.Pointer[[]string]
	table  atomic.Pointer[Seats]
	digest atomic.Uint64 // of the table and the own seat
	inbox  chan Heartbeat
	back   chan echo
	hasten chan struct{}

	// What follows belongs to Run.
	seat  *Seat // the own one, as told last
	talks map[string]Talk
	turn  uint
	beats int
	began time.Time // the last round
}

// echo is how a heartbeat went; response is nil if there is none.
type echo struct {
	addr     string
	told     Heartbeat
	response *Heartbeat
	refused  bool
}

// NewSeeker makes a seeker; the exported fields are set by the caller.
func NewSeeker() *Seeker {
	s := &Seeker{inbox: make(chan Heartbeat, 64), back: make(chan echo), hasten: make(chan struct{}, 1), talks: map[string]Talk{}}
	s.hold(Seats{})
	s.SetSeeds(nil)
	return s
}

// SetSeeds replaces the addresses that are asked while cores are missing.
func (s *Seeker) SetSeeds(seeds []string) { s.seeds.Store(&seeds) }

// Seeds are those addresses.
func (s *Seeker) Seeds() []string { return *s.seeds.Load() }

// Seats is the current table.
func (s *Seeker) Seats() Seats { return *s.table.Load() }

// Hasten makes the next round of heartbeats start at once.
func (s *Seeker) Hasten() {
	select {
	case s.hasten <- struct{}{}:
	default:
	}
}

// Hear takes what arrived in a heartbeat or its response; when the inbox is full it
// is dropped, since it will be told again.
func (s *Seeker) Hear(h Heartbeat) {
	select {
	case s.inbox <- h:
	default:
	}
}

// Answer is the response to a heartbeat, as far as it is of cores; own is the seat of whom
// answers, if it has one.
func (s *Seeker) Answer(h Heartbeat, own *Seat) Heartbeat {
	if h.Seat != nil || h.Same != 0 || len(h.Know) > 0 {
		s.Hear(h)
	}
	return s.Seats().Answer(h, own, s.digest.Load())
}

// Run heartbeats in rhythm until ctx ends.
func (s *Seeker) Run(ctx context.Context) {
	tick, rest := time.NewTicker(Beat), time.NewTimer(0)
	defer tick.Stop()
	defer rest.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.beats++
			s.round(ctx, s.beats%tallied == 0)
		case <-s.hasten:
			rest.Reset(max(0, apart-time.Since(s.began)))
		case <-rest.C:
			s.round(ctx, false)
		case h := <-s.inbox:
			s.take(ctx, h)
		case e := <-s.back:
			s.echoed(ctx, e)
		}
	}
}

// hold swaps the table.
func (s *Seeker) hold(t Seats) {
	s.table.Store(&t)
	s.digest.Store(t.Digest(s.seat))
}

func (s *Seeker) take(ctx context.Context, h Heartbeat) {
	before := len(s.Seats().Known())
	t, spoke := s.Seats().Heard(h, time.Now())
	s.hold(t)
	if spoke != nil {
		s.Heard(ctx, *spoke)
	}
	if len(t.Known()) > before {
		s.Hasten()
	}
}

func (s *Seeker) echoed(ctx context.Context, e echo) {
	switch {
	case e.response != nil:
		next, again := s.talks[e.addr].Answered(e.told, *e.response)
		s.talks[e.addr] = next
		s.take(ctx, *e.response)
		if again {
			s.tell(ctx, e.addr, s.all(), false)
		}
	case e.refused:
		delete(s.talks, e.addr) // who comes after it knows nothing
		s.hold(s.Seats().Refused(e.addr, time.Now()))
	}
}

// all is a heartbeat that tells all.
func (s *Seeker) all() Heartbeat {
	h := s.Own()
	s.seat = h.Seat
	s.hold(s.Seats())
	h.Know, h.Digest = s.Seats().All(), s.digest.Load()
	if s.turn++; h.Node != nil {
		h.Node.Turn = s.turn
	}
	return h
}

// round heartbeats everybody; due tells whether tallies and sums are.
func (s *Seeker) round(ctx context.Context, due bool) {
	s.began = time.Now()
	all, targets := s.all(), s.Seats().Targets(s.Addr, *s.seeds.Load(), s.began)
	maps.DeleteFunc(s.talks, func(addr string, _ Talk) bool { return !slices.Contains(targets, addr) })
	// The sums come from the core that this one follows as long as all is well: each
	// core tells the same, and they are spread evenly. (DESIGN 8.2)
	sums := ""
	if live := rendezvous.Rank(s.Addr, s.Seats().Live(s.began), func(c Seat) string { return c.Addr }); due && len(live) > 0 {
		sums = live[0].Addr
	}
	for _, addr := range targets {
		all.Sums = addr == sums
		s.tell(ctx, addr, all, due)
	}
}

// tell heartbeats one process with what it lacks.
func (s *Seeker) tell(ctx context.Context, addr string, all Heartbeat, due bool) {
	e := echo{addr: addr, told: s.talks[addr].Tell(all, due)}
	e.told.Have = s.Seats().Mark(addr)
	s.Launcher.Go(ctx, "heartbeat", func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, Silence/2)
		defer cancel()
		var h Heartbeat
		r := s.Net.Call(call, addr, transport.Control, KindHeartbeat, e.told)
		if e.refused = r.Refused; r.Into(&h) {
			if e.response = &h; s.Told != nil {
				s.Told(ctx, e.told, h)
			}
		}
		select {
		case s.back <- e:
		case <-ctx.Done():
		}
	})
}
