package watch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// sampleState is a word with 60 routes, of which one depends on its stamp.
func sampleState(revision uint64) config.ControlState {
	var b strings.Builder
	for i := range uint64(60) {
		n := uint64(0)
		if i == revision%60 {
			n = revision
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%d.example","prefix":"/p%d/","service":"svc-%d","legs":%d},`, i, i%7, i*i, i%3, n)
	}
	return config.ControlState{Revision: revision, ConfigurationRevision: revision, Configuration: []byte(b.String()), Submitted: []byte("what the operator sent")}
}

// watchOverWire is news as it comes over the wire, and its bytes.
func watchOverWire(t *testing.T, log *EventLog, req Request) (updates Updates, size int) {
	t.Helper()
	sent, _ := log.Since(req)
	b, err := msgpack.Marshal(sent)
	if err != nil || msgpack.Unmarshal(b, &updates) != nil {
		t.Fatal("news do not pass the wire")
	}
	return updates, len(b)
}

// testWatcher is a follower's share: what it holds, where it is, and what it put in force.
type testWatcher struct {
	StateDecoder
	req    Request
	mirror *Mirror
	state  config.ControlState
}

func (r *testWatcher) watch(t *testing.T, log *EventLog) (size int, read bool) {
	t.Helper()
	updates, size := watchOverWire(t, log, r.Prepare(r.req))
	if !r.Decode(&updates) {
		return size, false
	}
	r.req = Request{LogID: updates.LogID, Offset: updates.Offset}
	if w, _ := r.mirror.Apply(updates); w != nil {
		r.state = *w
	}
	return size, true
}

// A change of one route costs a follower a small part of its configuration, also where it
// comes to another core; the same configuration again costs nothing of it.
func TestBytesOfAConfigurationChange(t *testing.T) {
	cores, r := []*EventLog{NewEventLog(1, 0), NewEventLog(100, 0)}, testWatcher{mirror: NewMirror()}
	whole := len(sampleState(1).Configuration)
	for s := uint64(1); s <= 200; s++ {
		for _, log := range cores {
			log.ObserveCommitted(sampleState(s))
		}
		at := cores[s/50%2]
		moved := s%50 == 0
		if moved {
			r.req = Request{}
		}
		size, read := r.watch(t, at)
		if !read || !bytes.Equal(r.state.Configuration, sampleState(s).Configuration) || r.state.Revision != s {
			t.Fatalf("stamp %d: read %v, holds stamp %d", s, read, r.state.Revision)
		}
		if s > 1 && size > whole/10 {
			t.Fatalf("stamp %d: %d bytes of a configuration of %d", s, size, whole)
		}
	}
	for _, log := range cores {
		r.req = Request{}
		if size, _ := r.watch(t, log); size > 100 {
			t.Errorf("%d bytes where nothing is new", size)
		}
	}
}

// Whatever a follower holds, older, newer, of another core or altered, it ends up with
// what its core has, after one more question at the most, and never holds anything else
// than a core told. One of an older version is told configurations whole.
func TestStateDecoder(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	patched, refused := 0, 0
	for range 300 {
		cores := []*EventLog{NewEventLog(rng.Uint64(), 0), NewEventLog(rng.Uint64(), 0)}
		r := testWatcher{mirror: NewMirror()}
		for s := uint64(1); s < 40; s++ {
			log := cores[rng.IntN(2)]
			log.ObserveCommitted(sampleState(s))
			if rng.IntN(4) == 0 {
				log.ObserveNode(membership.Node{Addr: "node", Version: s}, 0)
			}
			if rng.IntN(3) == 0 {
				log = cores[rng.IntN(2)]
				r.req = Request{}
			}
			if log.State() == nil {
				continue
			}
			req := r.Prepare(r.req)
			updates, _ := watchOverWire(t, log, req)
			for i := range updates.Events {
				if p := updates.Events[i].StatePatch; p != nil {
					patched++
					if rng.IntN(3) == 0 && len(p.Delta) > 0 {
						p.Delta[rng.IntN(len(p.Delta))]++
						if altered := r.StateDecoder; altered.Decode(&updates) {
							t.Fatal("a difference that was altered was read")
						}
						refused++
					}
				}
			}
			if _, read := r.watch(t, log); !read {
				t.Fatal("news were not read")
			}
			if w := log.State(); r.state.Revision < w.Revision {
				t.Fatalf("core at stamp %d, follower at %d", w.Revision, r.state.Revision)
			}
			if !bytes.Equal(r.state.Configuration, sampleState(r.state.Revision).Configuration) {
				t.Fatalf("something else is in force as stamp %d", r.state.Revision)
			}
		}
		old, _ := watchOverWire(t, cores[0], Request{})
		for _, event := range old.Events {
			if event.StatePatch != nil {
				t.Fatal("a follower of an older version was told a difference")
			}
		}
	}
	if patched == 0 || refused == 0 {
		t.Errorf("%d differences, %d of them altered", patched, refused)
	}
}

// A difference that a follower can't use takes nothing in force, and the next is whole.
func TestUndecodablePatch(t *testing.T) {
	log, r := NewEventLog(1, 0), testWatcher{mirror: NewMirror()}
	log.ObserveCommitted(sampleState(1))
	r.watch(t, log)
	log.ObserveCommitted(sampleState(2))
	updates, _ := watchOverWire(t, log, r.Prepare(r.req))
	updates.Events[0].StatePatch.Delta[0]++
	if r.Decode(&updates) {
		t.Fatal("it was read")
	}
	if req := r.Prepare(r.req); req.StateFingerprint != nil {
		t.Error("it is told a difference again")
	}
	if _, read := r.watch(t, log); !read || r.state.Revision != 2 {
		t.Errorf("then read %v, stamp %d", read, r.state.Revision)
	}
}
