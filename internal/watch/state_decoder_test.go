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

// sampleState returns a control state with 60 routes, one of which depends on the revision.
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

// watchOverWire returns the updates for a request after encoding and decoding them, and their
// encoded size in bytes.
func watchOverWire(t *testing.T, log *EventLog, req Request) (updates Updates, size int) {
	t.Helper()
	sent, _ := log.Since(req)
	b, err := msgpack.Marshal(sent)
	if err != nil || msgpack.Unmarshal(b, &updates) != nil {
		t.Fatal("encoding and decoding the updates failed")
	}
	return updates, len(b)
}

// testWatcher is the state of a watcher: its decoder, its next request, its mirror, and the control
// state that it has in force.
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

// TestBytesOfAConfigurationChange checks that a change of one route transfers only a small part of
// the configuration, even if the watcher switches to another replica, and that an unchanged
// configuration is not transferred.
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
			t.Fatalf("revision %d: decoded %v, and the watcher has revision %d or another configuration", s, decoded, w.state.Revision)
		}
		if s > 1 && size > full/10 {
			t.Fatalf("revision %d: received %d bytes, want at most a tenth of the configuration's %d", s, size, full)
		}
	}
	for _, log := range logs {
		w.req = Request{}
		if size, _ := w.watch(t, log); size > 100 {
			t.Errorf("received %d bytes without any change, want at most 100", size)
		}
	}
}

// TestStateDecoder checks that a watcher gets its replica's control state after at most one more
// request, whether its own control state is older, newer, from another replica, or altered. It
// never has a control state that no replica sent. A watcher of an older version gets control states
// in full.
func TestStateDecoder(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	patched, rejected := 0, 0
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
						rejected++
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
				t.Fatalf("the configuration in force is not that of revision %d", w.state.Revision)
			}
		}
		old, _ := watchOverWire(t, logs[0], Request{})
		for _, event := range old.Events {
			if event.StatePatch != nil {
				t.Fatal("a watcher of an older version got a patch")
			}
		}
	}
	if patched == 0 || rejected == 0 {
		t.Errorf("got %d patches, %d of them altered; want both above 0", patched, rejected)
	}
}

// TestUndecodablePatch checks that a patch that a watcher cannot apply puts nothing in force, and
// that the next control state is sent in full.
func TestUndecodablePatch(t *testing.T) {
	log, w := NewEventLog(1, 0), testWatcher{mirror: NewMirror()}
	log.ObserveCommitted(sampleState(1))
	w.watch(t, log)
	log.ObserveCommitted(sampleState(2))
	updates, _ := watchOverWire(t, log, w.Prepare(w.req))
	updates.Events[0].StatePatch.Delta[0]++
	if w.Decode(&updates) {
		t.Fatal("an altered patch was decoded")
	}
	if req := w.Prepare(w.req); req.StateFingerprint != nil {
		t.Error("the next request asks for a patch again")
	}
	if _, decoded := w.watch(t, log); !decoded || w.state.Revision != 2 {
		t.Errorf("got decoded %v, revision %d; want true, revision 2", decoded, w.state.Revision)
	}
}
