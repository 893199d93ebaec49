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

// sampleState is a control state with 60 routes, of which one depends on its revision.
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

// watchOverWire returns updates as they arrive over the wire, and how many bytes they have.
func watchOverWire(t *testing.T, log *EventLog, req Request) (updates Updates, size int) {
	t.Helper()
	sent, _ := log.Since(req)
	b, err := msgpack.Marshal(sent)
	if err != nil || msgpack.Unmarshal(b, &updates) != nil {
		t.Fatal("updates do not survive the wire")
	}
	return updates, len(b)
}

// testWatcher is a watcher's state: its decoder, its next request, its mirror and the control state
// that it has in force.
type testWatcher struct {
	StateDecoder
	req    Request
	mirror *Mirror
	state  config.ControlState
}

func (w *testWatcher) watch(t *testing.T, log *EventLog) (size int, decoded bool) {
	t.Helper()
	updates, size := watchOverWire(t, log, w.Prepare(w.req))
	if !w.Decode(&updates) {
		return size, false
	}
	w.req = Request{LogID: updates.LogID, Offset: updates.Offset}
	if state, _ := w.mirror.Apply(updates); state != nil {
		w.state = *state
	}
	return size, true
}

// A change of one route costs a watcher a small part of the configuration's bytes, also if it
// changes to another replica; the same configuration again costs none of them.
func TestBytesOfAConfigurationChange(t *testing.T) {
	logs, w := []*EventLog{NewEventLog(1, 0), NewEventLog(100, 0)}, testWatcher{mirror: NewMirror()}
	full := len(sampleState(1).Configuration)
	for s := uint64(1); s <= 200; s++ {
		for _, log := range logs {
			log.ObserveCommitted(sampleState(s))
		}
		at := logs[s/50%2]
		moved := s%50 == 0
		if moved {
			w.req = Request{}
		}
		size, decoded := w.watch(t, at)
		if !decoded || !bytes.Equal(w.state.Configuration, sampleState(s).Configuration) || w.state.Revision != s {
			t.Fatalf("revision %d: decoded %v, has revision %d", s, decoded, w.state.Revision)
		}
		if s > 1 && size > full/10 {
			t.Fatalf("revision %d: %d bytes of a configuration of %d", s, size, full)
		}
	}
	for _, log := range logs {
		w.req = Request{}
		if size, _ := w.watch(t, log); size > 100 {
			t.Errorf("%d bytes where nothing is new", size)
		}
	}
}

// Whatever a watcher has, older, newer, of another replica or altered, it ends up with what its
// replica has, after one more request at most, and never has anything else than a replica sent.
// One of an older version gets control states in full.
func TestStateDecoder(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	patched, refused := 0, 0
	for range 300 {
		logs := []*EventLog{NewEventLog(rng.Uint64(), 0), NewEventLog(rng.Uint64(), 0)}
		w := testWatcher{mirror: NewMirror()}
		for s := uint64(1); s < 40; s++ {
			log := logs[rng.IntN(2)]
			log.ObserveCommitted(sampleState(s))
			if rng.IntN(4) == 0 {
				log.ObserveNode(membership.Node{Addr: "node", Version: s}, 0)
			}
			if rng.IntN(3) == 0 {
				log = logs[rng.IntN(2)]
				w.req = Request{}
			}
			if log.State() == nil {
				continue
			}
			req := w.Prepare(w.req)
			updates, _ := watchOverWire(t, log, req)
			for i := range updates.Events {
				if p := updates.Events[i].StatePatch; p != nil {
					patched++
					if rng.IntN(3) == 0 && len(p.Delta) > 0 {
						p.Delta[rng.IntN(len(p.Delta))]++
						if altered := w.StateDecoder; altered.Decode(&updates) {
							t.Fatal("an altered patch was decoded")
						}
						refused++
					}
				}
			}
			if _, decoded := w.watch(t, log); !decoded {
				t.Fatal("updates were not decoded")
			}
			if state := log.State(); w.state.Revision < state.Revision {
				t.Fatalf("the replica is at revision %d, the watcher at %d", state.Revision, w.state.Revision)
			}
			if !bytes.Equal(w.state.Configuration, sampleState(w.state.Revision).Configuration) {
				t.Fatalf("something else is in force as revision %d", w.state.Revision)
			}
		}
		old, _ := watchOverWire(t, logs[0], Request{})
		for _, event := range old.Events {
			if event.StatePatch != nil {
				t.Fatal("a watcher of an older version got a patch")
			}
		}
	}
	if patched == 0 || refused == 0 {
		t.Errorf("%d patches, %d of them altered", patched, refused)
	}
}

// A patch that a watcher can't apply puts nothing in force, and the next control state is sent in
// full.
func TestUndecodablePatch(t *testing.T) {
	log, w := NewEventLog(1, 0), testWatcher{mirror: NewMirror()}
	log.ObserveCommitted(sampleState(1))
	w.watch(t, log)
	log.ObserveCommitted(sampleState(2))
	updates, _ := watchOverWire(t, log, w.Prepare(w.req))
	updates.Events[0].StatePatch.Delta[0]++
	if w.Decode(&updates) {
		t.Fatal("it was decoded")
	}
	if req := w.Prepare(w.req); req.StateFingerprint != nil {
		t.Error("it asks for a patch again")
	}
	if _, decoded := w.watch(t, log); !decoded || w.state.Revision != 2 {
		t.Errorf("then decoded %v, revision %d", decoded, w.state.Revision)
	}
}
