package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// crier is a process that heartbeats cores; a core has a seat.
type crier struct {
	addr  string
	seat  *Seat
	seats Seats
	talks map[string]Talk
}

func (p *crier) all() Heartbeat {
	return Heartbeat{Seat: p.seat, Know: p.seats.All(), Digest: p.seats.Digest(p.seat)}
}

// heartbeat has one call made: the heartbeat or its response may be lost. It returns what was
// told and answered.
func (p *crier) heartbeat(o *crier, now time.Time, lost int) (told, response Heartbeat) {
	told = p.talks[o.addr].Tell(p.all(), false)
	told.Have = p.seats.Mark(o.addr)
	if lost == 0 {
		return told, response
	}
	response = o.seats.Answer(told, o.seat, o.seats.Digest(o.seat))
	o.seats, _ = o.seats.Heard(told, now)
	if lost == 1 {
		return told, response
	}
	next, again := p.talks[o.addr].Answered(told, response)
	p.talks[o.addr] = next
	p.seats, _ = p.seats.Heard(response, now)
	if again {
		p.heartbeat(o, now, 2)
	}
	return told, response
}

// Cores and sidecars that tell differences, through losses, starts anew, new seats and
// sets, come to know the same: all cores live, each in its newest seat; and then
// neither seats nor whom one knows are told any more.
func TestDigests(t *testing.T) {
	base := time.Now()
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 9))
		now := time.Duration(0)
		var all []*crier
		held := uint64(1)
		fresh := func(p *crier) { p.seats, p.talks = Seats{}, map[string]Talk{} }
		const cores = 3
		for i := range 6 {
			p := &crier{addr: fmt.Sprint("side-", i)}
			if i < cores {
				p.addr = fmt.Sprint("core-", i)
				s := Seat{Slot: i + 1, Slots: cores, Addr: p.addr, Inc: 1, Boot: rng.Uint64(), Established: true, Set: []int{1, 2, 3}, Held: held, Settled: held}.Marked()
				p.seat = &s
			}
			fresh(p)
			all = append(all, p)
		}
		word := func(c *crier, change func(s *Seat)) {
			s := *c.seat
			change(&s)
			s = s.Marked()
			c.seat = &s
		}
		beat := func(lossy bool) (told []Heartbeat) {
			now += Beat
			for _, p := range all {
				for _, o := range all[:cores] {
					if p == o {
						continue
					}
					lost := 2
					if lossy {
						lost = min(2, rng.IntN(8))
					}
					if p.seat != nil {
						word(p, func(s *Seat) { s.Wall = base.Add(now).UnixNano() })
					}
					a, b := p.heartbeat(o, base.Add(now), lost)
					told = append(told, a, b)
				}
			}
			return told
		}
		for range 60 {
			p := all[rng.IntN(len(all))]
			switch rng.IntN(6) {
			case 0:
				if fresh(p); p.seat != nil {
					word(p, func(s *Seat) { s.Boot = rng.Uint64(); s.Inc += rng.Uint64N(2) })
				}
			case 1:
				if p.seat != nil { // a new word is held, whose set may be another
					held++
					set := [][]int{{1, 2, 3}, {1, 2, 3, 4}}[rng.IntN(2)]
					word(p, func(s *Seat) { s.Held, s.Set, s.Slots, s.Before = held, set, len(set), []int{1, 2, 3} })
				}
			}
			beat(true)
		}
		held++
		for _, c := range all[:cores] {
			word(c, func(s *Seat) { s.Held, s.Settled, s.Set, s.Slots, s.Before = held, held, []int{1, 2, 3}, 3, nil })
		}
		for range 3 {
			beat(false)
		}
		for i, h := range beat(false) {
			if h.Seat != nil || len(h.Know) > 0 || h.Whole {
				t.Fatalf("seed %d: still told, at %d: %+v", seed, i, h)
			}
		}
		for _, p := range all {
			for _, c := range all[:cores] {
				if p == c {
					continue
				}
				s, ok := p.seats.At(c.seat.Slot)
				if s.Wall = c.seat.Wall; !ok || cmp.Diff(s, *c.seat) != "" {
					t.Fatalf("seed %d: %s has %+v of %+v", seed, p.addr, s, *c.seat)
				}
			}
			want := cores
			if p.seat != nil {
				want--
			}
			if live := p.seats.Live(base.Add(now)); len(live) != want {
				t.Fatalf("seed %d: to %s %d cores live", seed, p.addr, len(live))
			}
			if wall := p.seats.Wall(base.Add(now), 9, base.Add(now)); p.seat != nil && wall.Sub(base.Add(now)).Abs() > time.Millisecond {
				t.Fatalf("seed %d: to %s it is %v", seed, p.addr, wall)
			}
		}
	}
}
