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

// TestConfirmedAsOf checks that a majority of all known sidecars must confirm that no newer control
// state is in force. The confirmation time is that of the oldest status among the youngest ones
// that form the majority.
func TestConfirmedAsOf(t *testing.T) {
	five := []string{"a", "b", "c", "d", "e"} // own is a
	requestedAt := noon.Add(-ms(100))
	for name, c := range map[string]struct {
		known    []string
		observed []Peer
		asOf     time.Duration // before noon
		denied   bool
	}{
		"as of the second youngest status":         {five, []Peer{quorumLostPeer("b", 7, 50), quorumLostPeer("c", 7, 900), quorumLostPeer("d", 7, 2000)}, ms(1000), false},
		"too few":                                  {five, []Peer{quorumLostPeer("b", 7, 50)}, 0, true},
		"newer revision":                           {five, []Peer{quorumLostPeer("b", 7, 50), quorumLostPeer("c", 8, 50)}, 0, true},
		"older revision":                           {five, []Peer{quorumLostPeer("b", 7, 50), quorumLostPeer("c", 6, 50)}, ms(150), false},
		"quorum not lost":                          {five, []Peer{quorumLostPeer("b", 7, 50), {Addr: "c", Status: &PeerStatus{AppliedRevision: 7}}}, 0, true},
		"dead sidecar":                             {five, []Peer{quorumLostPeer("b", 7, 50), {Addr: "c", Status: &PeerStatus{Dead: true, Age: 20}}}, ms(150), false},
		"sidecar that is only mentioned":           {five, []Peer{quorumLostPeer("b", 7, 50), {Addr: "c"}}, 0, true},
		"unknown sidecars that are only mentioned": {five[:3], []Peer{quorumLostPeer("b", 7, 50), quorumLostPeer("c", 7, 50), {Addr: "d"}, {Addr: "e"}, {Addr: "f"}}, 0, true},
		"expired status":                           {five, []Peer{quorumLostPeer("b", 7, 50), quorumLostPeer("c", 7, 3950)}, 0, true},
		"no other sidecar":                         {five[:1], nil, 0, false},
		"own status reported by others":            {five[:1], []Peer{quorumLostPeer("a", 9, 0)}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			statuses := PeerStatusTable{}.Observe("a", c.observed, requestedAt, noon)
			if asOf, ok := statuses.ConfirmedAsOf("a", 7, c.known, noon); ok == c.denied || ok && noon.Sub(asOf) != c.asOf {
				t.Errorf("got unexpected confirmation as of %v before noon, ok %v", noon.Sub(asOf), ok)
			}
		})
	}
}

// TestNewerStatusWins checks that the younger status is kept, regardless of its sender, and that a
// mention without a status does not remove a status.
func TestNewerStatusWins(t *testing.T) {
	statuses := PeerStatusTable{}.Observe("own", []Peer{quorumLostPeer("a", 3, 10)}, noon, noon)
	statuses = statuses.Observe("own", []Peer{{Addr: "a", Incarnation: 1, Status: &PeerStatus{Age: 500, AppliedRevision: 2}}}, noon, noon)
	statuses = statuses.Observe("own", []Peer{{Addr: "a", Incarnation: 9, Version: 4}}, noon, noon)
	got := statuses.Report(Peer{Addr: "own"}, NewView(nil, nil), noon.Add(ms(5)))
	want := []Peer{{Addr: "own"}, {Addr: "a", Status: &PeerStatus{Incarnation: 1, Age: 15, AppliedRevision: 3, QuorumLost: true}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	// A sidecar that restarts after it was found dead reports a new status itself.
	statuses = statuses.MarkDead("a", 1, noon.Add(ms(100)), noon.Add(ms(101)))
	if got := statuses.deadIncarnations(NewView(map[string]Node{"a": {Addr: "a", Incarnation: 1}}, nil)); len(got) != 1 {
		t.Errorf("got dead nodes %v, want one", got)
	}
	statuses = statuses.Observe("own", []Peer{{Addr: "a", Incarnation: 2, Status: &PeerStatus{}}}, noon.Add(ms(200)), noon.Add(ms(201)))
	if got := statuses.deadIncarnations(NewView(map[string]Node{"a": {Addr: "a", Incarnation: 1}}, nil)); len(got) != 0 {
		t.Errorf("got dead nodes %v, want none", got)
	}
}

// TestMentionsExpire checks that a sidecar that is in no view any more is eventually no longer
// mentioned. Sidecars that repeat each other's mentions would keep it forever.
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
		t.Errorf("got mentioned sidecars %v, want [a b]", got)
	}
}

// TestOutdated checks that a peer is outdated if the local view lacks its node, or has it in an
// earlier version or in another incarnation than the peer's own status. Dead peers are not
// outdated.
func TestOutdated(t *testing.T) {
	view := NewView(map[string]Node{
		"a": {Addr: "a", Incarnation: 1, Version: 5},
		"b": {Addr: "b", Incarnation: 1, Version: 5},
		"c": {Addr: "c", Incarnation: 1},
		"d": {Addr: "d", Incarnation: 1},
	}, nil)
	peers := []Peer{
		{Addr: "a", Incarnation: 1, Version: 5},
		{Addr: "b", Incarnation: 1, Version: 6},
		{Addr: "c", Incarnation: 2},
		{Addr: "d", Incarnation: 2, Status: &PeerStatus{}},
		{Addr: "e", Incarnation: 3},
		{Addr: "f", Incarnation: 3, Status: &PeerStatus{Dead: true}},
		{Addr: "g", Status: &PeerStatus{Incarnation: 4}},
	}
	if got := (PeerStatusTable{}).Observe("own", peers, noon, noon).Outdated(view, peers); !slices.Equal(got, []string{"b", "d", "e"}) {
		t.Errorf("got outdated peers %v, want [b d e]", got)
	}
}

// TestStatusAges checks that a status is never assumed to be younger than it is, however many
// sidecars pass it on and however late it arrives: the recorded time is never after the time of the
// report.
func TestStatusAges(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		nodes, now := make([]PeerStatusTable, 6), noon
		reported := map[string]map[uint64]time.Time{} // when each revision was reported first
		for i := range nodes {
			reported[fmt.Sprint(i)] = map[uint64]time.Time{}
		}
		for step := range 200 {
			now = now.Add(time.Duration(rng.Int64N(int64(ms(300)))))
			from, to := rng.IntN(len(nodes)), rng.IntN(len(nodes))
			if from == to {
				continue
			}
			// The response is created some time after the request, and arrives after a further
			// delay.
			requestedAt, revision := now, uint64(step)
			now = now.Add(time.Duration(rng.Int64N(int64(ms(400)))))
			addr := fmt.Sprint(from)
			reported[addr][revision] = now
			peers := nodes[from].Report(quorumLostPeer(addr, revision, 0), NewView(nil, nil), now)
			now = now.Add(time.Duration(rng.Int64N(int64(ms(400)))))
			nodes[to] = nodes[to].Observe(fmt.Sprint(to), peers, requestedAt, now)
		}
		for i, statuses := range nodes {
			for addr, r := range statuses.records {
				if r.status == nil {
					continue
				}
				if when := reported[addr][r.status.AppliedRevision]; r.observedAt.After(when) {
					t.Fatalf("seed %d: sidecar %d has the report by %s of revision %d as of %v, but it was made at %v", seed, i, addr, r.status.AppliedRevision, r.observedAt.Sub(noon), when.Sub(noon))
				}
			}
		}
	}
}
