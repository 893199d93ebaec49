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

func quorumLostPeer(addr string, revision uint64, age uint32) Peer {
	return Peer{Addr: addr, Incarnation: 1, Status: &PeerStatus{Age: age, AppliedRevision: revision, QuorumLost: true}}
}

// A majority of all that are known must have said that no newer word is in force, and
// the oldest of just so many statements tells as of when that is sure.
func TestConfirmedAsOf(t *testing.T) {
	five := []string{"a", "b", "c", "d", "e"} // the own one is a
	asked := noon.Add(-ms(100))
	for name, c := range map[string]struct {
		known  []string
		heard  []Peer
		asOf   time.Duration // before noon
		denied bool
	}{
		"the second youngest of those that are needed": {five, []Peer{quorumLostPeer("b", 7, 50), quorumLostPeer("c", 7, 900), quorumLostPeer("d", 7, 2000)}, ms(1000), false},
		"too few":                             {five, []Peer{quorumLostPeer("b", 7, 50)}, 0, true},
		"one that has a newer word":           {five, []Peer{quorumLostPeer("b", 7, 50), quorumLostPeer("c", 8, 50)}, 0, true},
		"one that has an older word":          {five, []Peer{quorumLostPeer("b", 7, 50), quorumLostPeer("c", 6, 50)}, ms(150), false},
		"one that hears cores":                {five, []Peer{quorumLostPeer("b", 7, 50), {Addr: "c", Status: &PeerStatus{AppliedRevision: 7}}}, 0, true},
		"one that is dead":                    {five, []Peer{quorumLostPeer("b", 7, 50), {Addr: "c", Status: &PeerStatus{Dead: true, Age: 20}}}, ms(150), false},
		"one that is only named":              {five, []Peer{quorumLostPeer("b", 7, 50), {Addr: "c"}}, 0, true},
		"others that only others know":        {five[:3], []Peer{quorumLostPeer("b", 7, 50), quorumLostPeer("c", 7, 50), {Addr: "d"}, {Addr: "e"}, {Addr: "f"}}, 0, true},
		"what is too old":                     {five, []Peer{quorumLostPeer("b", 7, 50), quorumLostPeer("c", 7, 3950)}, 0, true},
		"nobody else":                         {five[:1], nil, 0, false},
		"of the own one others say something": {five[:1], []Peer{quorumLostPeer("a", 9, 0)}, 0, false},
	} {
		statuses := PeerStatusTable{}.Observe("a", c.heard, asked, noon)
		if asOf, ok := statuses.ConfirmedAsOf("a", 7, c.known, noon); ok == c.denied || ok && noon.Sub(asOf) != c.asOf {
			t.Errorf("%s: %v before noon, %v", name, noon.Sub(asOf), ok)
		}
	}
}

// The younger statement stays, from whomever it came, and a name without a statement
// takes none away.
func TestNewerStatusWins(t *testing.T) {
	statuses := PeerStatusTable{}.Observe("own", []Peer{quorumLostPeer("a", 3, 10)}, noon, noon)
	statuses = statuses.Observe("own", []Peer{{Addr: "a", Incarnation: 1, Status: &PeerStatus{Age: 500, AppliedRevision: 2}}}, noon, noon)
	statuses = statuses.Observe("own", []Peer{{Addr: "a", Incarnation: 9, Version: 4}}, noon, noon)
	got := statuses.Report(Peer{Addr: "own"}, NewView(nil, nil), noon.Add(ms(5)))
	want := []Peer{{Addr: "own"}, {Addr: "a", Status: &PeerStatus{Incarnation: 1, Age: 15, AppliedRevision: 3, QuorumLost: true}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	// One that starts again after it was found dead says so itself.
	statuses = statuses.MarkDead("a", 1, noon.Add(ms(100)), noon.Add(ms(101)))
	if got := statuses.deadIncarnations(NewView(map[string]Node{"a": {Addr: "a", Incarnation: 1}}, nil)); len(got) != 1 {
		t.Errorf("dead: %v", got)
	}
	statuses = statuses.Observe("own", []Peer{{Addr: "a", Incarnation: 2, Status: &PeerStatus{}}}, noon.Add(ms(200)), noon.Add(ms(201)))
	if got := statuses.deadIncarnations(NewView(map[string]Node{"a": {Addr: "a", Incarnation: 1}}, nil)); len(got) != 0 {
		t.Errorf("dead: %v", got)
	}
}

// A name that nobody has in its view any more is not told on for ever.
func TestMentionsExpire(t *testing.T) {
	a, b, now := PeerStatusTable{}, PeerStatusTable{}, noon
	none := NewView(nil, nil)
	a = a.Observe("a", []Peer{{Addr: "x", Incarnation: 1}}, now, now)
	a = a.MarkDead("y", 1, now, now)
	for range 20 {
		now = now.Add(HeartbeatInterval)
		a, b = a.Observe("a", b.Report(Peer{Addr: "b"}, none, now), now, now), b.Observe("b", a.Report(Peer{Addr: "a"}, none, now), now, now)
	}
	if got := union(a.Addrs(), b.Addrs()); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("still named: %v", got)
	}
}

// Of what a teller has that is lacking which the own view has not, or in an earlier
// revision, or in another boot than the sidecar's own statement says; not the dead.
func TestOutdated(t *testing.T) {
	v := NewView(map[string]Node{"a": {Addr: "a", Incarnation: 1, Version: 5}, "b": {Addr: "b", Incarnation: 1, Version: 5}, "c": {Addr: "c", Incarnation: 1}, "d": {Addr: "d", Incarnation: 1}}, nil)
	peers := []Peer{
		{Addr: "a", Incarnation: 1, Version: 5},
		{Addr: "b", Incarnation: 1, Version: 6},
		{Addr: "c", Incarnation: 2},
		{Addr: "d", Incarnation: 2, Status: &PeerStatus{}},
		{Addr: "e", Incarnation: 3},
		{Addr: "f", Incarnation: 3, Status: &PeerStatus{Dead: true}},
		{Addr: "g", Status: &PeerStatus{Incarnation: 4}},
	}
	if got := (PeerStatusTable{}).Observe("own", peers, noon, noon).Outdated(v, peers); !slices.Equal(got, []string{"b", "d", "e"}) {
		t.Errorf("lacking: %v", got)
	}
}

// However statements travel, and however late, none is ever believed to be younger than
// it is: after any way through others its time lies at or before that of the saying.
func TestStatusAges(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		nodes, now := make([]PeerStatusTable, 6), noon
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
			asked, revision := now, uint64(step)
			now = now.Add(time.Duration(rng.Int64N(int64(ms(400)))))
			addr := fmt.Sprint(from)
			said[addr][revision] = now
			peers := nodes[from].Report(quorumLostPeer(addr, revision, 0), NewView(nil, nil), now)
			now = now.Add(time.Duration(rng.Int64N(int64(ms(400)))))
			nodes[to] = nodes[to].Observe(fmt.Sprint(to), peers, asked, now)
		}
		for i, statuses := range nodes {
			for addr, r := range statuses.records {
				if r.status == nil {
					continue
				}
				if when := said[addr][r.status.AppliedRevision]; r.observedAt.After(when) {
					t.Fatalf("seed %d: %d believes that %s said %d at %v, it was %v", seed, i, addr, r.status.AppliedRevision, r.observedAt.Sub(noon), when.Sub(noon))
				}
			}
		}
	}
}
