// Package messages fuzzes what the system's processes read from one another: each kind of
// message is read as a host or a caller reads it, and handed to the production values
// that act on it.
package messages

import (
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/config"
	"curlewwalk/internal/controlplane/consensus"
	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/dataplane/keyreplication"
	"curlewwalk/internal/dataplane/proxy"
	"curlewwalk/internal/dataplane/routing"
	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
	"curlewwalk/internal/trace"
	"curlewwalk/internal/tracestore"
	"curlewwalk/internal/transport"
	"curlewwalk/internal/watch"
)

// kind is one kind of message: how it may look, and what becomes of it.
type kind struct {
	name   string
	sample any
	// take reads a message and acts on it; false if it was not understood.
	take func(b []byte) bool
}

// of makes a kind of a sample and of what acts on such messages.
func of[M any](name string, sample M, act func(m M)) kind {
	return kind{name, sample, func(b []byte) bool {
		var m M
		if transport.Unpack(b, &m) != nil {
			return false
		}
		act(m)
		return true
	}}
}

var (
	backend = membership.Backend{Instance: "i", Service: "s", Address: "127.0.0.1:1", Zone: "north", Capacity: 4, Share: 1}
	node    = membership.Node{
		Addr: "127.0.0.1:2", Boot: 7, Rev: 3, Zone: "north", Stamp: 5, Backends: []membership.Backend{backend}, Inc: 1,
		Accuses: []membership.Accusation{{Addr: "127.0.0.1:3"}}, Open: map[string]int64{"north": 1}, Budgets: map[string]retrybudget.Tally{"c": {}}, Turn: 2,
	}
	seat = membership.Seat{Slot: 2, Slots: 3, Addr: "127.0.0.1:4", Boot: 9, Zone: "north", Established: true, Set: []int{1, 2, 3}, Held: 4, Mark: 8}
	peer = membership.Peer{Addr: node.Addr, Boot: 7, Rev: 3, Said: &membership.Statement{Age: 20, Stamp: 5, Alone: true}}
	word = config.Word{Stamp: 5, DesiredStamp: 4, Desired: []byte(`{}`), Emptied: []string{"north"}, Slots: []config.Member{{Slot: 1, ID: 11}, {Slot: 2, ID: 12}}, Top: 2}
	mark = consensus.Mark{Epoch: 65537, Stamp: 5}
	from = consensus.From{Slot: 1}
)

// kinds are all that are registered on the wire, each way.
var kinds = []kind{
	of("greeting", transport.Greeting{Version: 1, Node: "n", Boot: 7}, func(transport.Greeting) {}),
	of(membership.KindHeartbeat, membership.Heartbeat{Node: &node, Seat: &seat, Know: []membership.Seat{seat}, Digest: 3, Have: 8}, heartbeat),
	of(membership.KindProbe, membership.Probe{Boot: 7, Inc: 1}, probe),
	of(membership.KindGossip, membership.Gossip{Own: peer, Digest: 3, Fetch: &membership.Fetch{Nodes: []string{"x"}, Word: true, Stamp: 4}}, func(membership.Gossip) {}),
	of("gossiped", membership.Gossiped{Peers: []membership.Peer{peer}, Word: &word, Nodes: []membership.Node{node}, Know: []membership.Seat{seat}}, gossiped),
	of(watch.KindFollow, watch.Follow{Feed: 1, Place: 1, Wait: time.Second}, follow),
	of("news", watch.News{Feed: 1, Place: 2, Snapshot: true, Items: []watch.Item{{Word: &word}, {Node: &node}, {Gone: "x"}}, Age: time.Second}, news),
	of(consensus.KindBallot, consensus.Ballot{From: from, Act: consensus.Propose, Epoch: 65537, Mark: mark, Word: word}, ballot),
	of("vote", consensus.Vote{From: from, Act: consensus.Prepare, OK: true, Mark: mark, Word: word, Seats: map[int]consensus.Chair{1: {Inc: 1}}}, vote),
	of(consensus.KindOrder, consensus.Order{ID: 1, Kind: consensus.Empty, Zone: "north"}, func(consensus.Order) {}),
	of(consensus.KindPatchedOrder, config.Patch{Difference: []byte{8, 1, 2, 3, 4}}, patched),
	of("answer", consensus.Answer{ID: 1, Result: consensus.Taken}, func(consensus.Answer) {}),
	of(consensus.KindSeat, consensus.Asker{ID: 5, Addr: "127.0.0.1:5", Zone: "north"}, asker),
	of(tracestore.KindPublish, tracestore.Batch{Events: []trace.Event{{Trace: trace.Root().Trace, Route: "w"}}}, batch),
	of(tracestore.KindTrace, tracestore.Query{Trace: trace.Root().Trace}, func(tracestore.Query) {}),
	of(keyreplication.KindHold, keyreplication.Entry{Owner: "o", Boot: 1, N: 1, Key: idempotency.Key{Text: "k"}, For: time.Minute, Response: []byte("r")}, hold),
	of("held", keyreplication.Held{Taken: true, Known: &keyreplication.Entry{Owner: "o"}}, func(keyreplication.Held) {}),
	of(keyreplication.KindHandover, keyreplication.Handover{Owner: "o", Boot: 2}, func(q keyreplication.Handover) { keyreplication.NewHoldings().Handover(q, 0) }),
	of("handed", keyreplication.Handed{Entries: []keyreplication.Entry{{Owner: "o", N: 1}}}, handed),
	of(proxy.KindAttempt, proxy.Attempt{ID: "x", Service: "s", Instance: "i", Boot: 7, Method: "GET", URI: "/", Left: time.Second}, func(proxy.Attempt) {}),
	of("leg receipt", proxy.AttemptResponse{ID: "x", Fate: routing.Answered, Status: 200, Body: []byte("ok")}, func(proxy.AttemptResponse) {}),
	of(proxy.KindRecall, proxy.Recall{ID: "x", Boot: 7}, func(proxy.Recall) {}),
	of("receipt", proxy.Response{Status: 200, Body: []byte("ok"), Fate: routing.Answered}, func(proxy.Response) {}),
}

func see(nodes ...membership.Node) {
	all := map[string]membership.Node{}
	for _, n := range nodes {
		all[n.Addr] = n
	}
	membership.NewView(all, nil).Nodes()
}

func heartbeat(h membership.Heartbeat) {
	now := time.Now()
	seats, _ := membership.Seats{}.Heard(h, now)
	seats, _ = seats.Heard(h, now.Add(membership.Beat))
	seats.Live(now)
	seats.NoMajority(now)
	seats.Wall(now, 1, now)
	seats.Answer(h, &seat, seats.Digest(&seat))
	f := watch.New(1, 0)
	if h.Node != nil {
		f.Told(*h.Node, 0)
		f.Departed(*h.Node, 0)
	}
	if h.Pulse != nil {
		f.Felt(*h.Pulse, time.Second)
	}
	f.Tick(time.Second)
	f.Accused()
	retrybudget.Merge(f.Budgets())
	f.Drain("north", time.Second)
	budgets := retrybudget.NewBudgets()
	budgets.Hear(h.Budgets)
	budgets.Sums()
}

func probe(p membership.Probe) {
	w := membership.NewWatch("127.0.0.1:2")
	w.Membership([]string{"127.0.0.1:3"})
	w.Probed("127.0.0.1:3", &p, false)
	w.Accused(map[string]membership.Node{"127.0.0.1:3": {}})
}

func gossiped(g membership.Gossiped) {
	now := time.Now()
	s := membership.Statements{}.Hear("127.0.0.1:9", g.Peers, now, now)
	view := membership.NewView(map[string]membership.Node{node.Addr: node}, nil)
	s.Lacking(view, g.Peers)
	s.Tell(peer, view, now.Add(membership.Beat))
	s.Highest(1)
	s.Sure("127.0.0.1:9", 5, []string{node.Addr}, now)
	c := watch.NewCopy()
	c.Meet(g.Nodes, map[string]uint64{node.Addr: 7})
	see(g.Nodes...)
	heartbeat(membership.Heartbeat{Know: g.Know})
	inForce(g.Word)
}

func inForce(w *config.Word) {
	if w == nil {
		return
	}
	w.Shut()
	if t, ok := routing.NewTable(*w); ok {
		t.Match("x", "/", "GET")
	}
}

func follow(q watch.Follow) {
	f := watch.New(1, 0)
	f.Told(node, 0)
	f.Settled(word)
	for _, feedID := range []uint64{q.Feed, 1} {
		q.Feed = feedID
		f.Since(q)
	}
}

func news(n watch.News) {
	c := watch.NewCopy()
	word, _ := c.Take(n)
	inForce(word)
	c.Take(n)
}

func acceptor() consensus.Acceptor {
	return consensus.Acceptor{Self: from, Mark: mark, Word: word, Seats: map[int]consensus.Chair{}}
}

func ballot(b consensus.Ballot) {
	next, _ := acceptor().On(b)
	next, _ = next.On(b)
	next.Sets()
	inForce(&next.Word)
}

func vote(v consensus.Vote) {
	v.By(word.Slots[0])
	consensus.Top(map[int]consensus.Vote{1: v}, acceptor().Sets())
}

func patched(p config.Patch) {
	base, err := config.NewVersion(word)
	if err != nil {
		panic(err)
	}
	base.Apply(p)
	p.Base = base.Fingerprint
	base.Apply(p)
	var kept config.Versions
	kept.Add(base)
	kept.Apply(p)
}

func asker(a consensus.Asker) {
	u := consensus.Usher{GoneFor: time.Second}
	u = u.Look(word.Slots, nil, time.Second)
	u.Seat(a, acceptor(), map[int]consensus.Place{1: {Addr: a.Addr}}, 2*time.Second)
}

func batch(b tracestore.Batch) {
	for _, e := range b.Events {
		tracestore.Build(e.Trace, b.Events)
	}
}

func hold(e keyreplication.Entry) {
	h := keyreplication.NewHoldings()
	h.Take(e, 0)
	h.Take(e, time.Second)
	h.Handover(keyreplication.Handover{Owner: e.Owner}, time.Second)
	h.Release(e)
	if n, settled := h.Count(); n < 0 || settled < 0 || settled > n {
		panic("the count of claims is wrong")
	}
}

func handed(h keyreplication.Handed) {
	t := keyreplication.NewTrusts("o", "north")
	for _, e := range h.Entries {
		t.Held(e, node, 0)
		t.Settle(e, time.Second)
		t.Lacking([]membership.Node{node}, 9, time.Second)
		t.Drop(e)
	}
}

// Every sample is read as it was written, so that the seeds reach what they are for.
func TestSamples(t *testing.T) {
	for _, k := range kinds {
		b, err := msgpack.Marshal(k.sample)
		if err != nil || !k.take(b) {
			t.Errorf("%s: %v", k.name, err)
			continue
		}
		again := reflect.New(reflect.TypeOf(k.sample))
		if err := transport.Unpack(b, again.Interface()); err != nil {
			t.Errorf("%s: %v", k.name, err)
		}
		for cut := range b {
			if k.take(b[:cut]) {
				t.Errorf("%s was taken though cut short at %d of %d", k.name, cut, len(b))
			}
		}
	}
}

// FuzzMessage: whatever a message holds, it is not understood, or what acts on it lives.
func FuzzMessage(f *testing.F) {
	for i, k := range kinds {
		b, err := msgpack.Marshal(k.sample)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), b)
	}
	f.Fuzz(func(_ *testing.T, i uint8, b []byte) {
		kinds[int(i)%len(kinds)].take(b)
	})
}
