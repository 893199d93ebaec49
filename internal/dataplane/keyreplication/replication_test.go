package keyreplication

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/idempotency"
	"curlewwalk/internal/membership"
)

// Holders are of other zones than the owner's and of different ones, as long
// as there are any; a node that goes moves only what it held.
func TestRankReplicas(t *testing.T) {
	var nodes []membership.Node
	for i := range 12 {
		nodes = append(nodes, membership.Node{Addr: fmt.Sprint("node-", i), Zone: fmt.Sprint("locality-", i%4)})
	}
	moved := 0
	for i := range 200 {
		key := fmt.Sprint("key-", i)
		got := RankReplicas("node-0", "locality-0", idempotency.Key{Text: key}, nodes)
		if len(got) != 11 || got[0].Zone == "locality-0" || got[1].Zone == "locality-0" || got[0].Zone == got[1].Zone {
			t.Fatalf("%s: %v", key, got[:2])
		}
		gone := append(append([]membership.Node{}, nodes[:5]...), nodes[6:]...)
		less := RankReplicas("node-0", "locality-0", idempotency.Key{Text: key}, gone)
		if got[0].Addr != "node-5" && got[1].Addr != "node-5" {
			if less[0].Addr != got[0].Addr || less[1].Addr != got[1].Addr {
				t.Errorf("%s moved though node-5 did not hold it", key)
			}
		} else {
			moved++
		}
	}
	if moved == 0 {
		t.Error("node-5 held nothing")
	}
}

// Against a plain model: a claim is told to a new boot and never overwritten by it,
// given up only as the claim it was, kept for its time, and within the bound.
func TestReplicaStore(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 31))
		s := NewReplicaStore()
		type model struct {
			boot, n uint64
			until   time.Duration
			settled bool
		}
		known := map[string]*model{}
		boot, n := uint64(1), uint64(0)
		var now time.Duration
		told := 0
		for range 5000 {
			now += time.Duration(rng.Int64N(int64(2 * time.Second)))
			if rng.IntN(50) == 0 {
				boot++
			}
			text := fmt.Sprint("key-", rng.IntN(40))
			m := known[text]
			if m != nil && now >= m.until {
				m = nil
				delete(known, text)
			}
			record := Record{Owner: "o", Incarnation: boot, Key: idempotency.Key{Text: text}, TTL: time.Minute}
			switch rng.IntN(4) {
			case 0: // settle or give up what is held by this boot
				if m == nil || m.boot != boot {
					break
				}
				record.Sequence = m.n
				if rng.IntN(2) == 0 {
					s.Release(record)
					delete(known, text)
				} else {
					record.Response = []byte("receipt")
					s.Store(record, now)
					m.settled, m.until = true, now+record.TTL
				}
			case 1: // an old release must not undo a later claim
				record.Sequence = 0
				s.Release(record)
			default:
				n++
				record.Sequence = n
				got := s.Store(record, now)
				switch {
				case m != nil && m.boot != boot:
					told++
					if got.Accepted || got.Existing == nil || got.Existing.Incarnation != m.boot || (got.Existing.Response != nil) != m.settled {
						t.Fatalf("seed %d: %+v of %+v", seed, got, m)
					}
				case !got.Accepted:
					t.Fatalf("seed %d: not taken: %+v of %+v", seed, got, m)
				default:
					known[text] = &model{boot: boot, n: n, until: now + record.TTL}
				}
			}
			alive := 0
			for _, m := range known {
				if m.boot != boot && now < m.until {
					alive++
				}
			}
			if got := len(s.Handover(HandoverRequest{Owner: "o", Incarnation: boot}, now).Records); got != alive {
				t.Fatalf("seed %d: %d handed over, %d are of earlier boots", seed, got, alive)
			}
		}
		if told == 0 {
			t.Errorf("seed %d: no earlier boot's claim was met", seed)
		}
	}
	big := NewReplicaStore()
	for i := range 3 * maxResponseBytes / (1 << 20) {
		record := Record{Owner: "o", Sequence: 1, Key: idempotency.Key{Text: fmt.Sprint(i)}, TTL: time.Minute, Response: make([]byte, 1<<20)}
		if !big.Store(record, 0).Accepted || big.responseBytes > maxResponseBytes {
			t.Fatalf("entry %d: %d bytes are held", i, big.responseBytes)
		}
	}
	handed := 0
	all := big.Handover(HandoverRequest{Owner: "o", Incarnation: 1}, 0).Records
	for _, record := range all {
		handed += len(record.Response)
	}
	if len(all) != 3*maxResponseBytes/(1<<20) || handed == 0 || handed > maxHandoverBytes {
		t.Errorf("%d entries with %d bytes of receipts are handed over", len(all), handed)
	}
}

// What a holder that has gone, or come back in another boot, had held lacks one; the
// next in order is asked. Nothing is asked for what is held, given up or over.
func TestMissingReplicas(t *testing.T) {
	nodes := []membership.Node{{Addr: "a", Incarnation: 1}, {Addr: "b", Incarnation: 1}, {Addr: "c", Incarnation: 1}}
	tr := NewReplicationTracker("o", "north")
	record := Record{Owner: "o", Incarnation: 7, Sequence: 1, Key: idempotency.Key{Text: "k"}, TTL: time.Minute}
	ranked := RankReplicas("o", "north", record.Key, nodes)
	tr.AddReplica(record, ranked[0], 0)
	if got := tr.MissingReplicas(nodes, 9, 0); len(got) != 1 || got[0].Target.Addr != ranked[1].Addr {
		t.Errorf("held by one: %+v", got)
	}
	tr.AddReplica(record, ranked[1], 0)
	if got := tr.MissingReplicas(nodes, 9, 0); len(got) > 0 {
		t.Errorf("held by two: %+v", got)
	}
	record.Response = []byte("r")
	tr.Complete(record, 10*time.Second)
	reborn := []membership.Node{ranked[0], ranked[1], ranked[2]}
	reborn[0].Incarnation = 2
	if got := tr.MissingReplicas(reborn, 9, 20*time.Second); len(got) != 1 || got[0].Target.Addr != ranked[0].Addr || string(got[0].Response) != "r" || got[0].TTL != 50*time.Second {
		t.Errorf("after another boot: %+v", got)
	}
	if got := tr.MissingReplicas(reborn[1:], 9, 20*time.Second); len(got) != 1 || got[0].Target.Addr != ranked[2].Addr {
		t.Errorf("after it has gone: %+v", got)
	}
	if got := tr.MissingReplicas(reborn, 9, 71*time.Second); len(got) > 0 || tr.responseBytes != 0 {
		t.Errorf("when it is over: %+v, %d bytes", got, tr.responseBytes)
	}
}
