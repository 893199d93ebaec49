package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func alone(addr string, stamp uint64, age uint32) Peer {
	return Peer{Addr: addr, Boot: 1, Said: &Statement{Age: age, Stamp: stamp, Alone: true}}
}

// A majority of all that are known must have said that no newer word is in force, and
// the oldest of just so many statements tells as of when that is sure.
func TestSure(t *testing.T) {
	five := []string{"a", "b", "c", "d", "e"} // the own one is a
	asked := noon.Add(-ms(100))
	for name, c := range map[string]struct {
		known  []string
		heard  []Peer
		asOf   time.Duration // before noon
		denied bool
	}{
		"the second youngest of those that are needed": {five, []Peer{alone("b", 7, 50), alone("c", 7, 900), alone("d", 7, 2000)}, ms(1000), false},
		"too few":                             {five, []Peer{alone("b", 7, 50)}, 0, true},
		"one that has a newer word":           {five, []Peer{alone("b", 7, 50), alone("c", 8, 50)}, 0, true},
		"one that has an older word":          {five, []Peer{alone("b", 7, 50), alone("c", 6, 50)}, ms(150), false},
		"one that hears cores":                {five, []Peer{alone("b", 7, 50), {Addr: "c", Said: &Statement{Stamp: 7}}}, 0, true},
		"one that is dead":                    {five, []Peer{alone("b", 7, 50), {Addr: "c", Said: &Statement{Dead: true, Age: 20}}}, ms(150), false},
		"one that is only named":              {five, []Peer{alone("b", 7, 50), {Addr: "c"}}, 0, true},
		"others that only others know":        {five[:3], []Peer{alone("b", 7, 50), alone("c", 7, 50), {Addr: "d"}, {Addr: "e"}, {Addr: "f"}}, 0, true},
		"what is too old":                     {five, []Peer{alone("b", 7, 50), alone("c", 7, 3950)}, 0, true},
		"nobody else":                         {five[:1], nil, 0, false},
		"of the own one others say something": {five[:1], []Peer{alone("a", 9, 0)}, 0, false},
	} {
		s := Statements{}.Hear("a", c.heard, asked, noon)
		if asOf, ok := s.Sure("a", 7, c.known, noon); ok == c.denied || ok && noon.Sub(asOf) != c.asOf {
			t.Errorf("%s: %v before noon, %v", name, noon.Sub(asOf), ok)
		}
	}
}

// The younger statement stays, from whomever it came, and a name without a statement
// takes none away.
func TestYoungerStatementStays(t *testing.T) {
	s := Statements{}.Hear("own", []Peer{alone("a", 3, 10)}, noon, noon)
	s = s.Hear("own", []Peer{{Addr: "a", Boot: 1, Said: &Statement{Age: 500, Stamp: 2}}}, noon, noon)
	s = s.Hear("own", []Peer{{Addr: "a", Boot: 9, Rev: 4}}, noon, noon)
	got := s.Tell(Peer{Addr: "own"}, NewView(nil, nil), noon.Add(ms(5)))
	want := []Peer{{Addr: "own"}, {Addr: "a", Said: &Statement{Boot: 1, Age: 15, Stamp: 3, Alone: true}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	// One that starts again after it was found dead says so itself.
	s = s.Refused("a", 1, noon.Add(ms(100)), noon.Add(ms(101)))
	if got := s.deadIn(NewView(map[string]Node{"a": {Addr: "a", Boot: 1}}, nil)); len(got) != 1 {
		t.Errorf("dead: %v", got)
	}
	s = s.Hear("own", []Peer{{Addr: "a", Boot: 2, Said: &Statement{}}}, noon.Add(ms(200)), noon.Add(ms(201)))
	if got := s.deadIn(NewView(map[string]Node{"a": {Addr: "a", Boot: 1}}, nil)); len(got) != 0 {
		t.Errorf("dead: %v", got)
	}
}

// A name that nobody has in its view any more is not told on for ever.
func TestNamesDie(t *testing.T) {
	a, b, now := Statements{}, Statements{}, noon
	none := NewView(nil, nil)
	a = a.Hear("a", []Peer{{Addr: "x", Boot: 1}}, now, now)
	a = a.Refused("y", 1, now, now)
	for range 20 {
		now = now.Add(Beat)
		a, b = a.Hear("a", b.Tell(Peer{Addr: "b"}, none, now), now, now), b.Hear("b", a.Tell(Peer{Addr: "a"}, none, now), now, now)
	}
	if got := union(a.Named(), b.Named()); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("still named: %v", got)
	}
}

// Of what a teller has that is lacking which the own view has not, or in an earlier
// revision, or in another boot than the sidecar's own statement says; not the dead.
func TestLacking(t *testing.T) {
	v := NewView(map[string]Node{"a": {Addr: "a", Boot: 1, Rev: 5}, "b": {Addr: "b", Boot: 1, Rev: 5}, "c": {Addr: "c", Boot: 1}, "d": {Addr: "d", Boot: 1}}, nil)
	told := []Peer{
		{Addr: "a", Boot: 1, Rev: 5},
		{Addr: "b", Boot: 1, Rev: 6},
		{Addr: "c", Boot: 2},
		{Addr: "d", Boot: 2, Said: &Statement{}},
		{Addr: "e", Boot: 3},
		{Addr: "f", Boot: 3, Said: &Statement{Dead: true}},
		{Addr: "g", Said: &Statement{Boot: 4}},
	}
	if got := (Statements{}).Hear("own", told, noon, noon).Lacking(v, told); !slices.Equal(got, []string{"b", "d", "e"}) {
		t.Errorf("lacking: %v", got)
	}
}

// However statements travel, and however late, none is ever believed to be younger than
// it is: after any way through others its time lies at or before that of the saying.
func TestStatementsAge(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		nodes, now := make([]Statements, 6), noon
		said := map[string]map[uint64]time.Time{} // when each stamp was said first
		for i := range nodes {
			said[fmt.Sprint(i)] = map[uint64]time.Time{}
		}
		for step := range 200 {
			now = now.Add(time.Duration(rng.Int64N(int64(ms(300)))))
			from, to := rng.IntN(len(nodes)), rng.IntN(len(nodes))
			if from == to {
				continue
			}
			// The answer is made some time after the question, and comes later still.
			asked, stamp := now, uint64(step)
			now = now.Add(time.Duration(rng.Int64N(int64(ms(400)))))
			addr := fmt.Sprint(from)
			said[addr][stamp] = now
			told := nodes[from].Tell(alone(addr, stamp, 0), NewView(nil, nil), now)
			now = now.Add(time.Duration(rng.Int64N(int64(ms(400)))))
			nodes[to] = nodes[to].Hear(fmt.Sprint(to), told, asked, now)
		}
		for i, s := range nodes {
			for addr, r := range s.all {
				if r.said == nil {
					continue
				}
				if when := said[addr][r.said.Stamp]; r.at.After(when) {
					t.Fatalf("seed %d: %d believes that %s said %d at %v, it was %v", seed, i, addr, r.said.Stamp, r.at.Sub(noon), when.Sub(noon))
				}
			}
		}
	}
}
