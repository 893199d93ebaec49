package watch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"curlewwalk/internal/membership"
	"curlewwalk/internal/retrybudget"
)

// testSidecar is a sidecar that heartbeats one core.
type testSidecar struct {
	node    membership.Node
	encoder membership.HeartbeatEncoder
}

// message is a heartbeat or its response, under way.
type message struct {
	from     *testSidecar
	boot     uint64
	sent     membership.Heartbeat
	response *membership.Heartbeat
}

// heartbeatModel is a core, whose version may be an old one, and the sidecars that heartbeat it.
type heartbeatModel struct {
	t            *testing.T
	rng          *rand.Rand
	log          *EventLog
	now          time.Duration
	olderVersion bool
	sidecars     []*testSidecar
	messages     []message

	partial, full, resent int
}

func (*heartbeatModel) backends(n membership.Node) []membership.Backend {
	return []membership.Backend{{Instance: fmt.Sprint(n.Incarnation, " ", n.Version)}}
}

func (model *heartbeatModel) restart(s *testSidecar) {
	*s = testSidecar{node: membership.Node{Addr: s.node.Addr, Incarnation: model.rng.Uint64()}}
	model.change(s)
}

func (model *heartbeatModel) change(s *testSidecar) {
	s.node.Version++
	s.node.Backends = model.backends(s.node)
}

// send sends a heartbeat off.
func (model *heartbeatModel) send(s *testSidecar, includeBudgets bool) message {
	s.node.Sequence++
	n := s.node
	told := s.encoder.Encode(membership.Heartbeat{Node: &n, TableDigest: 7}, includeBudgets)
	if told.NodeStatus != nil {
		model.partial++
	} else {
		model.full++
	}
	return message{from: s, boot: n.Incarnation, sent: told}
}

// deliver has a heartbeat reach the core, as far as its version understands it.
func (model *heartbeatModel) deliver(msg message) message {
	r := membership.Heartbeat{TableDigest: 7}
	switch {
	case msg.sent.Node != nil:
		model.log.ObserveNode(*msg.sent.Node, model.now)
	case !model.olderVersion:
		r.RequestFull = !model.log.ObserveStatus(*msg.sent.NodeStatus, model.now)
	}
	if model.olderVersion {
		r.TableDigest = 0
	}
	for _, n := range model.log.Nodes() {
		if d := cmp.Diff(n.Backends, model.backends(n)); d != "" {
			model.t.Fatalf("a node with other backends: %s", d)
		}
	}
	msg.response = &r
	return msg
}

// deliverResponse has a response come back; more is a heartbeat that goes off at once.
func (model *heartbeatModel) deliverResponse(msg message) (more message, resend bool) {
	s := msg.from
	if msg.boot != s.node.Incarnation {
		return message{}, false // who had called is gone
	}
	s.encoder, resend = s.encoder.Acknowledge(msg.sent, *msg.response)
	if !resend {
		return message{}, false
	}
	model.resent++
	return model.send(s, false), true
}

// step brings one thing about.
func (model *heartbeatModel) step() {
	model.now += 5 * time.Millisecond
	model.log.DetectPause(model.now)
	model.log.Tick(model.now)
	s := model.sidecars[model.rng.IntN(len(model.sidecars))]
	switch model.rng.IntN(200) {
	case 0:
		model.log = NewEventLog(model.rng.Uint64(), model.now) // the core starts anew, maybe in another version
		model.olderVersion = model.rng.IntN(4) == 0
	case 1:
		model.restart(s)
	case 2, 3:
		model.change(s)
	case 4, 5, 6:
		s.node.Refutation++
	case 7, 8, 9:
		s.node.AppliedRevision++
		s.node.OpenRequests = map[string]int64{"west": model.rng.Int64N(3)}
		s.node.Suspects = []membership.Suspicion{{Addr: "x", Refutation: s.node.AppliedRevision}}[:model.rng.IntN(2)]
		s.node.Budgets = map[string]retrybudget.Counts{"c": {Requests: int64(s.node.AppliedRevision)}}
	default:
		if len(model.messages) < 20 && model.rng.IntN(2) == 0 {
			model.messages = append(model.messages, model.send(s, model.rng.IntN(4) == 0))
			return
		}
		if len(model.messages) == 0 {
			return
		}
		// Any letter under way arrives next, however old, or is lost.
		i := model.rng.IntN(len(model.messages))
		msg := model.messages[i]
		model.messages = append(model.messages[:i:i], model.messages[i+1:]...)
		switch {
		case model.rng.IntN(5) == 0:
		case msg.response == nil:
			model.messages = append(model.messages, model.deliver(msg))
		default:
			if more, resend := model.deliverResponse(msg); resend {
				model.messages = append(model.messages, more)
			}
		}
	}
}

func nonZero(open map[string]int64) map[string]int64 {
	open = maps.Clone(open)
	maps.DeleteFunc(open, func(_ string, n int64) bool { return n == 0 })
	return open
}

// Through lost, late and overtaken heartbeats and responses, starts anew of the core and of
// sidecars, and a core that is of an older version for a while, a core never has a
// node with other backends than it told, and has what is newest of it after two heartbeats
// that are answered, whatever it told before arrives later.
func TestHeartbeatsConverge(t *testing.T) {
	short, whole, asked := 0, 0, 0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		model := &heartbeatModel{t: t, rng: rng, log: NewEventLog(1, 0)}
		for i := range 3 {
			s := &testSidecar{node: membership.Node{Addr: fmt.Sprint("node-", i)}}
			model.restart(s)
			model.sidecars = append(model.sidecars, s)
		}
		for range 2000 {
			model.step()
			if rng.IntN(20) > 0 {
				continue
			}
			// Two heartbeats of one are answered, at once after one another.
			s := model.sidecars[rng.IntN(len(model.sidecars))]
			msg, resend := model.deliverResponse(model.deliver(model.send(s, true)))
			if !resend {
				msg = model.send(s, true)
			}
			if _, resend = model.deliverResponse(model.deliver(msg)); resend {
				t.Fatalf("seed %d: a third heartbeat is asked for", seed)
			}
			// What it told before and what comes only now changes nothing any more.
			model.messages = slices.DeleteFunc(model.messages, func(msg message) bool {
				late := msg.from == s && msg.boot == s.node.Incarnation && msg.response == nil
				if late {
					model.deliver(msg)
				}
				return late
			})
			got, want := model.log.nodes[s.node.Addr], s.node
			want.OpenRequests, got.OpenRequests = nonZero(want.OpenRequests), nonZero(got.OpenRequests)
			if d := cmp.Diff(want, got, cmpopts.EquateEmpty()); d != "" {
				t.Fatalf("seed %d, at %v: %s", seed, model.now, d)
			}
		}
		short, whole, asked = short+model.partial, whole+model.full, asked+model.resent
	}
	t.Logf("%d short heartbeats, %d whole ones, %d of them asked for", short, whole, asked)
	if asked == 0 || short == 0 {
		t.Errorf("%d short heartbeats, %d whole ones, %d of them asked for", short, whole, asked)
	}
}
