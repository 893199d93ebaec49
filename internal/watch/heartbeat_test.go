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

// testSidecar is a sidecar that sends heartbeats to one replica.
type testSidecar struct {
	node    membership.Node
	encoder membership.HeartbeatEncoder
}

// message is a heartbeat in transit, or its response if response is set.
type message struct {
	from        *testSidecar
	incarnation uint64
	sent        membership.Heartbeat
	response    *membership.Heartbeat
}

// heartbeatModel models a replica, which may run an older version, and the sidecars that send
// heartbeats to it.
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

func (m *heartbeatModel) restart(s *testSidecar) {
	*s = testSidecar{node: membership.Node{Addr: s.node.Addr, Incarnation: m.rng.Uint64()}}
	m.change(s)
}

func (m *heartbeatModel) change(s *testSidecar) {
	s.node.Version++
	s.node.Backends = m.backends(s.node)
}

// send returns the sidecar's next heartbeat as a message in transit.
func (m *heartbeatModel) send(s *testSidecar, includeBudgets bool) message {
	s.node.Sequence++
	n := s.node
	sent := s.encoder.Encode(membership.Heartbeat{Node: &n, TableDigest: 7}, includeBudgets)
	if sent.NodeStatus != nil {
		m.partial++
	} else {
		m.full++
	}
	return message{from: s, incarnation: n.Incarnation, sent: sent}
}

// deliver makes the replica process a heartbeat, as far as its version supports it, and returns the
// response in transit.
func (m *heartbeatModel) deliver(msg message) message {
	response := membership.Heartbeat{TableDigest: 7}
	switch {
	case msg.sent.Node != nil:
		m.log.ObserveNode(*msg.sent.Node, m.now)
	case !m.olderVersion:
		response.RequestFull = !m.log.ObserveStatus(*msg.sent.NodeStatus, m.now)
	}
	if m.olderVersion {
		response.TableDigest = 0
	}
	for _, n := range m.log.Nodes() {
		if d := cmp.Diff(n.Backends, m.backends(n)); d != "" {
			m.t.Fatalf("a node has other backends than announced: %s", d)
		}
	}
	msg.response = &response
	return msg
}

// deliverResponse makes the sidecar process a response. If resend is set, next is a heartbeat that
// the sidecar sends at once.
func (m *heartbeatModel) deliverResponse(msg message) (next message, resend bool) {
	s := msg.from
	if msg.incarnation != s.node.Incarnation {
		return message{}, false // the process that sent the heartbeat has ended
	}
	s.encoder, resend = s.encoder.Acknowledge(msg.sent, *msg.response)
	if !resend {
		return message{}, false
	}
	m.resent++
	return m.send(s, false), true
}

// step makes one random change, or delivers or loses one message.
func (m *heartbeatModel) step() {
	m.now += 5 * time.Millisecond
	m.log.DetectPause(m.now)
	m.log.Tick(m.now)
	s := m.sidecars[m.rng.IntN(len(m.sidecars))]
	switch m.rng.IntN(200) {
	case 0:
		m.log = NewEventLog(m.rng.Uint64(), m.now) // the replica restarts, possibly in another version
		m.olderVersion = m.rng.IntN(4) == 0
	case 1:
		m.restart(s)
	case 2, 3:
		m.change(s)
	case 4, 5, 6:
		s.node.Refutation++
	case 7, 8, 9:
		s.node.AppliedRevision++
		s.node.OpenRequests = map[string]int64{"west": m.rng.Int64N(3)}
		s.node.Suspects = []membership.Suspicion{{Addr: "x", Refutation: s.node.AppliedRevision}}[:m.rng.IntN(2)]
		s.node.Budgets = map[string]retrybudget.Counts{"c": {Requests: int64(s.node.AppliedRevision)}}
	default:
		if len(m.messages) < 20 && m.rng.IntN(2) == 0 {
			m.messages = append(m.messages, m.send(s, m.rng.IntN(4) == 0))
			return
		}
		if len(m.messages) == 0 {
			return
		}
		// Any message in transit arrives next, however old, or is lost.
		i := m.rng.IntN(len(m.messages))
		msg := m.messages[i]
		m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
		switch {
		case m.rng.IntN(5) == 0:
		case msg.response == nil:
			m.messages = append(m.messages, m.deliver(msg))
		default:
			if next, resend := m.deliverResponse(msg); resend {
				m.messages = append(m.messages, next)
			}
		}
	}
}

func nonZero(open map[string]int64) map[string]int64 {
	open = maps.Clone(open)
	maps.DeleteFunc(open, func(_ string, n int64) bool { return n == 0 })
	return open
}

// TestHeartbeatsConverge checks two properties while heartbeats and responses are lost, delayed and
// reordered, the replica and sidecars restart, and the replica may run an older version. The replica
// never has a node with other backends than the node announced. After two heartbeats with responses
// it has the newest state of the node, even if older heartbeats arrive later.
func TestHeartbeatsConverge(t *testing.T) {
	partial, full, resent := 0, 0, 0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		m := &heartbeatModel{t: t, rng: rng, log: NewEventLog(1, 0)}
		for i := range 3 {
			s := &testSidecar{node: membership.Node{Addr: fmt.Sprint("node-", i)}}
			m.restart(s)
			m.sidecars = append(m.sidecars, s)
		}
		for range 2000 {
			m.step()
			if rng.IntN(20) > 0 {
				continue
			}
			// Two consecutive heartbeats of one sidecar get responses.
			s := m.sidecars[rng.IntN(len(m.sidecars))]
			msg, resend := m.deliverResponse(m.deliver(m.send(s, true)))
			if !resend {
				msg = m.send(s, true)
			}
			if _, resend = m.deliverResponse(m.deliver(msg)); resend {
				t.Fatalf("seed %d: a third heartbeat was requested", seed)
			}
			// Earlier heartbeats of the sidecar that arrive only now change nothing.
			m.messages = slices.DeleteFunc(m.messages, func(msg message) bool {
				late := msg.from == s && msg.incarnation == s.node.Incarnation && msg.response == nil
				if late {
					m.deliver(msg)
				}
				return late
			})
			got, want := m.log.nodes[s.node.Addr], s.node
			want.OpenRequests, got.OpenRequests = nonZero(want.OpenRequests), nonZero(got.OpenRequests)
			if d := cmp.Diff(want, got, cmpopts.EquateEmpty()); d != "" {
				t.Fatalf("seed %d, at %v: %s", seed, m.now, d)
			}
		}
		partial, full, resent = partial+m.partial, full+m.full, resent+m.resent
	}
	t.Logf("%d partial heartbeats, %d full ones, %d sent again on request", partial, full, resent)
	if resent == 0 || partial == 0 {
		t.Errorf("got %d partial heartbeats, %d full ones, %d sent again on request; want some partial ones and some requests", partial, full, resent)
	}
}
